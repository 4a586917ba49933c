package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// positions holds the line of every key and element of an EDN text by its path, such as ":op-types 0 :target". The EDN
// library reports no positions, so the text is scanned a second time to give errors a line. The scan also rejects
// duplicate keys in a map, which the library does not.
type positions struct {
	text    string
	offset  int // of the next byte to scan
	line    int // of the next byte to scan
	lineOf  map[string]int
	rangeOf map[string]textRange // of values
	keys    []string             // paths of all keys, in text order
}

// textRange is a range of bytes.
type textRange struct{ from, to int }

// maxNestingDepth is the depth above which a text is rejected, before it can exhaust the stack.
const maxNestingDepth = 64

// findPositions scans a text. On an error, the line of the returned positions is that of the error.
func findPositions(text string) (*positions, error) {
	p := &positions{text: text, line: 1, lineOf: map[string]int{}, rangeOf: map[string]textRange{}}
	if err := p.scanValue("", 0); err != nil {
		return p, err
	}
	if p.skipBlank(); p.offset < len(p.text) {
		return p, errors.New("text after the end of the settings")
	}
	return p, nil
}

// nearestLine returns the line of a path, or of its innermost enclosing key or element that is in the text.
func (p *positions) nearestLine(path string) int {
	for path != "" {
		if line := p.lineOf[path]; line > 0 {
			return line
		}
		path = path[:max(0, strings.LastIndexByte(path, ' '))]
	}
	return 1
}

// children returns the paths of the keys or elements of the value at a path, in text order. t is the value's type.
func (p *positions) children(path string, t reflect.Type) (paths []string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() == reflect.Slice || t.Kind() == reflect.Array {
		for i := 0; ; i++ {
			element := elementPath(path, i)
			if _, ok := p.lineOf[element]; !ok {
				return paths
			}
			paths = append(paths, element)
		}
	}
	for _, key := range p.keys {
		rest, below := strings.CutPrefix(key, path)
		isChild := below && len(strings.Fields(rest)) == 1 && (path == "" || rest[0] == ' ')
		if isChild {
			paths = append(paths, key)
		}
	}
	return paths
}

func elementPath(path string, i int) string {
	return strings.TrimSpace(fmt.Sprintf("%s %d", path, i))
}

// skipBlank skips white space, commas and comments.
func (p *positions) skipBlank() {
	for p.offset < len(p.text) {
		switch p.text[p.offset] {
		case '\n':
			p.line++
			p.offset++
		case ' ', '\t', '\r', ',':
			p.offset++
		case ';':
			for p.offset < len(p.text) && p.text[p.offset] != '\n' {
				p.offset++
			}
		default:
			return
		}
	}
}

// scanValue scans one value and records the positions of its keys and elements. depth is the nesting depth of the
// value.
func (p *positions) scanValue(path string, depth int) error {
	if depth > maxNestingDepth {
		return fmt.Errorf("nested deeper than %d", maxNestingDepth)
	}
	p.skipBlank()
	if p.offset >= len(p.text) {
		return errors.New("the text ends in the middle")
	}
	rest := p.text[p.offset:]
	switch first := rest[0]; {
	case strings.HasPrefix(rest, "#_"): // a discarded form, then the value
		p.offset += 2
		if err := p.scanValue(path+" #_", depth+1); err != nil {
			return err
		}
		return p.scanValue(path, depth)
	case strings.HasPrefix(rest, "#{"):
		p.offset += 2
		return p.scanElements(path, '}', depth)
	case first == '#': // a tag, then the value
		p.scanToken()
		return p.scanValue(path, depth+1)
	case first == '{':
		p.offset++
		return p.scanEntries(path, depth)
	case first == '[':
		p.offset++
		return p.scanElements(path, ']', depth)
	case first == '(':
		p.offset++
		return p.scanElements(path, ')', depth)
	case first == '"':
		return p.scanString()
	case first == '}' || first == ']' || first == ')':
		return fmt.Errorf("%q closes nothing", first)
	}
	p.scanToken()
	return nil
}

// scanEnd skips discarded forms, and then the given closing delimiter if it comes next. It reports whether the delimiter
// was skipped.
func (p *positions) scanEnd(delimiter byte) (bool, error) {
	for {
		p.skipBlank()
		if p.offset >= len(p.text) {
			return false, fmt.Errorf("the text ends before %q", delimiter)
		}
		if p.text[p.offset] == delimiter {
			p.offset++
			return true, nil
		}
		if !strings.HasPrefix(p.text[p.offset:], "#_") {
			return false, nil
		}
		p.offset += 2
		if err := p.scanValue("#_", 1); err != nil {
			return false, err
		}
	}
}

// scanElements scans a vector, list or set after its opening delimiter.
func (p *positions) scanElements(path string, delimiter byte, depth int) error {
	for i := 0; ; i++ {
		if done, err := p.scanEnd(delimiter); done || err != nil {
			return err
		}
		element := elementPath(path, i)
		p.lineOf[element] = p.line
		from := p.offset
		if err := p.scanValue(element, depth+1); err != nil {
			return err
		}
		p.rangeOf[element] = textRange{from, p.offset}
	}
}

// scanEntries scans a map after its opening delimiter.
func (p *positions) scanEntries(path string, depth int) error {
	for {
		if done, err := p.scanEnd('}'); done || err != nil {
			return err
		}
		from := p.offset
		if err := p.scanValue(path+" key", depth+1); err != nil {
			return err
		}
		key := strings.TrimSpace(path + " " + p.text[from:p.offset])
		if _, duplicate := p.lineOf[key]; duplicate {
			return fmt.Errorf("%s: stands twice", key)
		}
		p.lineOf[key] = p.line
		p.keys = append(p.keys, key)
		if done, err := p.scanEnd('}'); done || err != nil {
			if done {
				err = fmt.Errorf("%s: has no value", key)
			}
			return err
		}
		from = p.offset
		if err := p.scanValue(key, depth+1); err != nil {
			return err
		}
		p.rangeOf[key] = textRange{from, p.offset}
	}
}

func (p *positions) scanString() error {
	for p.offset++; p.offset < len(p.text); p.offset++ {
		switch p.text[p.offset] {
		case '\\':
			p.offset++
		case '\n':
			p.line++
		case '"':
			p.offset++
			return nil
		}
	}
	return errors.New("a string is not closed")
}

// tokenEnds are the bytes that end a symbol, keyword, number or character.
const tokenEnds = " \t\r\n,;\"{}[]()"

// scanToken skips a symbol, keyword, number or character.
func (p *positions) scanToken() {
	if p.text[p.offset] == '\\' { // a character, which may be a delimiter itself
		p.offset++
	}
	p.offset++
	for p.offset < len(p.text) && !strings.ContainsRune(tokenEnds, rune(p.text[p.offset])) {
		p.offset++
	}
	p.offset = min(p.offset, len(p.text)) // a text may end in the middle of a character
}
