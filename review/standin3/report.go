//go:build review3

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// lossyProxy passes connections on to an address. While it loses answers, it resets a connection on which an answer comes.
type lossyProxy struct {
	mu   sync.Mutex
	lose bool
}

func (l *lossyProxy) losing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lose
}

func (l *lossyProxy) setLosing(lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = lose
}

func (l *lossyProxy) run(p *play, to string) string {
	listener := p.listen()
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer client.Close()
				server, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer server.Close()
				go func() {
					_, _ = io.Copy(server, client)
				}()
				buf := make([]byte, 64<<10)
				for {
					n, err := server.Read(buf)
					if err != nil {
						return
					}
					if l.losing() {
						_ = client.(*net.TCPConn).SetLinger(0) // close with a reset
						return
					}
					if _, err := client.Write(buf[:n]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func init() { allCases["repeated-report"] = repeatedReport }

// repeatedReport is the case of a client whose report of one wrong answer is repeated, since the connection was reset
// before the reply came.
func repeatedReport(p *play) {
	list := newListService(p)
	var mu sync.Mutex
	wrongOnce := ""
	trialServed := 0
	serveUnit := func(id, build int) string {
		return p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			command := r.Header.Get("X-Command")
			time.Sleep(15 * time.Millisecond)
			answer := "chute 7"
			if build == 2 {
				mu.Lock()
				if trialServed++; trialServed == 25 {
					wrongOnce, answer = command, "chute 99"
				}
				mu.Unlock()
			}
			p.say("unit %d (build %d) runs %s: %s", id, build, command, answer)
			fmt.Fprintln(w, answer)
		}))
	}
	var units []unit
	for id := 1; id <= 4; id++ {
		build := 1
		if id > 3 {
			build = 2
		}
		units = append(units, unit{ID: id, Addr: serveUnit(id, build), State: "ready", Build: build})
	}
	list.put(units)
	sleep(0.01)
	installer := &voteInstaller{p: p, votes: make(chan string, 100)}
	installer.set(`{"version":2,"build":2,"stage":0,"phase":"on-trial","cap":0.3,"age":1}`)
	listen := p.freeAddress()
	rules := strings.Replace(groupRules, ":stages [0.1 0.4 1.0] :caps [0.15 0.5 1.0]", ":stages [0.25 0.5 1.0] :caps [0.3 0.6 1.0]", 1)
	settings := p.file("edge.edn", fmt.Sprintf(`{:relay "r1" :listen %q :admin %q :state-dir %q :log {:format :text :level :info}
 :sources {:list "http://%s/list" :installer "http://%s" :silence 5.0 :back-least 0.1 :back-most 5.0}
`, listen, p.freeAddress(), p.temp+"/state", p.serve(list), p.serve(installer))+rules)
	p.start("router", "bin/flintspread-router run "+settings)
	front := &lossyProxy{}
	reports := front.run(p, listen)
	if !until(20, func() bool {
		r, err := http.Get("http://" + listen + "/chute/0")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	}) {
		p.fail("the router does not serve")
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	wrongAnswers, posted := 0, 0
	for i := range 10 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("look-%d-%d", i, n)
				request, err := http.NewRequest(http.MethodGet, "http://"+listen+"/chute/"+id, nil)
				if err != nil {
					return
				}
				request.Header.Set("X-Command", id)
				answer, err := client.Do(request)
				if err != nil {
					p.say("%s: %v", id, err)
					continue
				}
				text, _ := io.ReadAll(answer.Body)
				answer.Body.Close()
				if !strings.Contains(string(text), "chute 99") {
					continue
				}
				receipt := answer.Header.Get("Flint-Receipt")
				mu.Lock()
				wrongAnswers++
				mu.Unlock()
				p.say("%s was answered wrongly, receipt %s", id, receipt)
				for try := range 3 { // a client retries twice, after a wait
					front.setLosing(p.trouble && try < 2)
					report, err := http.NewRequest(http.MethodPost, "http://"+reports+"/.flint/wrong", nil)
					if err != nil {
						return
					}
					report.Header.Set("Flint-Receipt", receipt)
					mu.Lock()
					posted++
					mu.Unlock()
					reply, err := (&http.Client{Transport: &http.Transport{}}).Do(report)
					if err != nil {
						p.say("report %s, try %d: no reply: %v", receipt, try, err)
						sleep(0.3)
						continue
					}
					reply.Body.Close()
					p.say("report %s, try %d: %s", receipt, try, reply.Status)
					break
				}
			}
		})
	}
	sleep(14)
	close(stop)
	clients.Wait()
	back := 0
	for len(installer.votes) > 0 {
		if <-installer.votes == "back" {
			back++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	what := fmt.Sprintf("%d wrong answer of %d by build 2 (%s), reported with one receipt in %d tries, %d votes to roll back", wrongAnswers, trialServed, wrongOnce, posted, back)
	if wrongAnswers != 1 || trialServed < 26 {
		p.fail("%s", what)
	}
	if back > 0 {
		p.end(exitBroken, "%s", what)
	}
	p.end(exitKept, "%s", what)
}
