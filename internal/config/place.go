package config

import (
	"errors"
	"fmt"
	"strings"
)

// places gives the line of every key and element of an EDN text by its path, such as ":op-types 0 :target". The
// EDN library decodes without positions, and an error that names no line sends its reader searching; so the text is
// walked once more for them alone. A key that stands twice in one map is refused here.
type places struct {
	text string
	at   int
	line int
	of   map[string]int
	keys []string // in the order of the text

	values map[string]span
}

// span is where a value stands.
type span struct{ from, to int }

func findPlaces(text string) (*places, error) {
	p := &places{text: text, line: 1, of: map[string]int{}, values: map[string]span{}}
	if err := p.value("", 0); err != nil {
		return p, err
	}
	if p.skip(); p.at < len(p.text) {
		return p, errors.New("text after the end of the settings")
	}
	return p, nil
}

const deepest = 64 // a text nested deeper is refused before it can exhaust the stack

// skip passes over white space, commas, comments and discarded forms' marks.
func (p *places) skip() {
	for p.at < len(p.text) {
		switch p.text[p.at] {
		case '\n':
			p.line++
			p.at++
		case ' ', '\t', '\r', ',':
			p.at++
		case ';':
			for p.at < len(p.text) && p.text[p.at] != '\n' {
				p.at++
			}
		default:
			return
		}
	}
}

func (p *places) value(path string, depth int) error {
	if depth > deepest {
		return fmt.Errorf("nested deeper than %d", deepest)
	}
	p.skip()
	if p.at >= len(p.text) {
		return errors.New("the text ends in the middle")
	}
	rest := p.text[p.at:]
	switch c := rest[0]; {
	case strings.HasPrefix(rest, "#_"):
		p.at += 2
		if err := p.value(path+" #_", depth+1); err != nil {
			return err
		}
		return p.value(path, depth)
	case strings.HasPrefix(rest, "#{"):
		p.at += 2
		return p.list(path, '}', depth)
	case c == '#':
		p.word()
		return p.value(path, depth+1)
	case c == '{':
		p.at++
		return p.pairs(path, depth)
	case c == '[':
		p.at++
		return p.list(path, ']', depth)
	case c == '(':
		p.at++
		return p.list(path, ')', depth)
	case c == '"':
		return p.str()
	case c == '}' || c == ']' || c == ')':
		return fmt.Errorf("%q closes nothing", c)
	}
	p.word()
	return nil
}

// closes tells whether the next thing is the closing mark, and passes over it.
func (p *places) closes(end byte) (bool, error) {
	for {
		p.skip()
		if p.at >= len(p.text) {
			return false, fmt.Errorf("the text ends before %q", end)
		}
		if p.text[p.at] == end {
			p.at++
			return true, nil
		}
		if !strings.HasPrefix(p.text[p.at:], "#_") {
			return false, nil
		}
		p.at += 2
		if err := p.value("#_", 1); err != nil {
			return false, err
		}
	}
}

func (p *places) list(path string, end byte, depth int) error {
	for i := 0; ; i++ {
		if done, err := p.closes(end); done || err != nil {
			return err
		}
		at := strings.TrimSpace(fmt.Sprintf("%s %d", path, i))
		p.of[at] = p.line
		from := p.at
		if err := p.value(at, depth+1); err != nil {
			return err
		}
		p.values[at] = span{from, p.at}
	}
}

func (p *places) pairs(path string, depth int) error {
	for {
		if done, err := p.closes('}'); done || err != nil {
			return err
		}
		from := p.at
		if err := p.value(path+" key", depth+1); err != nil {
			return err
		}
		at := strings.TrimSpace(path + " " + p.text[from:p.at])
		if _, twice := p.of[at]; twice {
			return fmt.Errorf("%s: stands twice", at)
		}
		p.of[at] = p.line
		p.keys = append(p.keys, at)
		if done, err := p.closes('}'); done || err != nil {
			if done {
				err = fmt.Errorf("%s: has no value", at)
			}
			return err
		}
		from = p.at
		if err := p.value(at, depth+1); err != nil {
			return err
		}
		p.values[at] = span{from, p.at}
	}
}

func (p *places) str() error {
	for p.at++; p.at < len(p.text); p.at++ {
		switch p.text[p.at] {
		case '\\':
			p.at++
		case '\n':
			p.line++
		case '"':
			p.at++
			return nil
		}
	}
	return errors.New("a string is not closed")
}

// word passes over a symbol, keyword, number or character.
func (p *places) word() {
	if p.text[p.at] == '\\' { // a character, which may be a mark itself
		p.at++
	}
	for p.at++; p.at < len(p.text) && !strings.ContainsRune(" \t\r\n,;\"{}[]()", rune(p.text[p.at])); p.at++ {
	}
	p.at = min(p.at, len(p.text)) // a text may end in the middle of a character
}
