//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stuck"] = playStuck }

// The fleet and its load, as in a small deployment: five units of two cores, with the work and the timeouts of the brief.
// The units have just started and are cold, so that more comes than they can do.
const (
	stuckUnits     = 5
	stuckCores     = 2
	stuckClients   = 60
	stuckPeriod    = 1200 * time.Millisecond // a wave of parcels comes so often, and with it a request of each client
	stuckBatches   = 0.25                    // share of the requests that send a batch table
	stuckBody      = 3 << 20                 // size of a batch table in bytes; :body-bytes allows 4 MiB
	stuckSteady    = 600 * time.Millisecond  // from the start of the load to the disruption at the earliest
	stuckSilence   = 9 * time.Second         // the brief: 8.5 to 29 s
	stuckAfter     = 5 * time.Second         // from the end of the silence to the end of the load
	stuckPatience  = 600 * time.Millisecond  // for which a client goes on waiting after its time; then it leaves
	stuckSlack     = 500 * time.Millisecond  // an answer that is so late only earns nothing
	coldFrom       = 0.3                     // a unit starts with this share of its capacity: :cold-from
	coldSeconds    = 4.0                     // and has all of it after so long: :warm-up
	linkChunkBytes = 64 << 10                // a connection passes so much
	linkChunkTime  = 3 * time.Millisecond    // in this time, about 170 Mbit/s
	linkBuffer     = 16 << 10                // receive buffer of a connection, in bytes
	unitHost       = "127.0.0.2"             // of its own: the kernel remembers by address what it learns of such links
	linkSegment    = 1460                    // segment size of an Ethernet
)

// box is a unit: a server with cores and a link of limited speed. It acts on the head of a request, answers, and then
// reads the body, so that the connection can be used again.
type box struct {
	lab      *lab
	id       int
	listener net.Listener
	cores    chan struct{}
	started  float64 // Unix time; the unit is cold at first

	mu      sync.Mutex
	resumed chan struct{} // not nil: the machine is silent until this is closed
	unread  int           // answered requests of whose body not even a quarter is read
	ran     int
	conns   map[net.Conn]bool
}

func startBox(l *lab, id int) (*box, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, linkSegment),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkBuffer))
		})
		return errors.Join(controlErr, err)
	}}
	listener, err := config.Listen(context.Background(), "tcp", unitHost+":0")
	if err != nil {
		return nil, err
	}
	b := &box{lab: l, id: id, listener: listener, started: float64(time.Now().UnixNano()) / 1e9,
		cores: make(chan struct{}, stuckCores), conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[conn] = true
			b.mu.Unlock()
			go b.serve(conn)
		}
	}()
	return b, nil
}

// awake waits while the machine is silent.
func (b *box) awake() {
	b.mu.Lock()
	resumed := b.resumed
	b.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// link reads from a connection at the speed of the link.
type link struct {
	box  *box
	conn net.Conn
}

func (l link) Read(p []byte) (int, error) {
	l.box.awake()
	n, err := l.conn.Read(p[:min(len(p), linkChunkBytes)])
	time.Sleep(linkChunkTime * time.Duration(n) / linkChunkBytes)
	l.box.awake()
	return n, err
}

func (b *box) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	br := bufio.NewReader(link{b, conn})
	for {
		request, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		b.work(request)
		b.awake()
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"); err != nil {
			return
		}
		if request.ContentLength < stuckBody {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			continue
		}
		b.countUnread(1)
		_, err = io.CopyN(io.Discard, request.Body, request.ContentLength/4)
		b.countUnread(-1)
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err != nil {
			return
		}
	}
}

func (b *box) countUnread(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unread += n
}

func (b *box) work(request *http.Request) {
	b.cores <- struct{}{}
	defer func() { <-b.cores }()
	milliseconds := 36 + rand.Float64()*26
	if strings.HasPrefix(request.URL.Path, "/batch/") {
		milliseconds = 60 + rand.Float64()*40
	}
	b.mu.Lock()
	age := float64(time.Now().UnixNano())/1e9 - b.started
	b.mu.Unlock()
	share := min(1, coldFrom+(1-coldFrom)*age/coldSeconds)
	time.Sleep(time.Duration(milliseconds / share * float64(time.Millisecond)))
	b.mu.Lock()
	b.ran++
	b.mu.Unlock()
	b.lab.notef("unit %d ran %s %s", b.id, request.Method, request.URL.Path)
}

// silence makes one of the machines silent, at a moment in which it begins to read the body of a request that it has
// answered: no reset, no answer.
func silence(ctx context.Context, boxes []*box) *box {
	for ctx.Err() == nil {
		time.Sleep(time.Millisecond)
		if time.Since(boxes[0].lab.began)%stuckPeriod > stuckPeriod/2 {
			continue // the wave is nearly over
		}
		for _, b := range boxes {
			b.mu.Lock()
			chosen := b.unread > 0
			if chosen {
				b.resumed = make(chan struct{})
				b.lab.notef("unit %d goes silent; bodies of %d answered requests are not read yet", b.id, b.unread)
			}
			b.mu.Unlock()
			if chosen {
				return b
			}
		}
	}
	return nil
}

// restart ends the silence: the machine is back, with a new process that knows none of the connections.
func (b *box) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		conn.Close()
	}
	close(b.resumed)
	b.resumed, b.started = nil, float64(time.Now().UnixNano())/1e9
	b.lab.notef("unit %d is back, cold", b.id)
}

// stuckTally counts what clients saw.
type stuckTally struct {
	mu      sync.Mutex
	answers map[string]int
	lost    []string
}

// playStuck plays a fleet under load of which one unit goes silent, and counts the requests that got no answer in time.
func playStuck(l *lab) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var boxes []*box
	line := list{Version: 1, Full: true}
	for id := 1; id <= stuckUnits; id++ {
		b, err := startBox(l, id)
		if err != nil {
			return 0, err
		}
		boxes = append(boxes, b)
		line.Units = append(line.Units, unit{ID: id, Addr: b.listener.Addr().String(), State: "ready", Build: 1, Start: b.started})
	}
	listService, listAddr, err := startLines(line, list{Version: 1})
	if err != nil {
		return 0, err
	}
	_, installerAddr, err := startLines(stage{Version: 1, Build: 1, Stage: 2, Phase: "released", Cap: 1}, quietStage)
	if err != nil {
		return 0, err
	}
	document, err := l.document(":body-bytes  1048576", ":body-bytes  4194304",
		`{:name "chute-lookup"  :target 0.3 :timeout 0.75`, `{:name "chute-lookup"  :target 0.9 :timeout 1.5`,
		`{:name "batch-table"   :target 0.6`, `{:name "batch-table"   :target 0.9`)
	if err != nil {
		return 0, err
	}
	_, address, err := l.startRouter(document, listAddr, installerAddr, "")
	if err != nil {
		return 0, err
	}
	time.Sleep(300 * time.Millisecond)
	tally := &stuckTally{answers: map[string]int{}}
	var clients sync.WaitGroup
	for i := range stuckClients {
		clients.Go(func() { stuckClient(ctx, l, i, address, tally) })
	}
	time.Sleep(stuckSteady)
	var silent *box
	if l.trouble {
		wait, stop := context.WithTimeout(ctx, 20*time.Second)
		silent = silence(wait, boxes)
		stop()
		if silent == nil {
			return 0, errors.New("no unit answered a request before it had read the body")
		}
	}
	time.Sleep(stuckSilence)
	if l.trouble {
		silent.restart()
		back := unit{ID: silent.id, Addr: silent.listener.Addr().String(), State: "ready", Build: 1, Start: silent.started}
		line.Version, line.Units[silent.id-1] = 2, back
		listService.set(list{Version: 2, Units: []unit{back}}, line, list{Version: 2})
	}
	time.Sleep(stuckAfter)
	cancel()
	clients.Wait()
	for _, b := range boxes {
		l.notef("unit %d: %d requests run", b.id, b.ran)
	}
	l.notef("answers %v, lost %d", tally.answers, len(tally.lost))
	return len(tally.lost), nil
}

// stuckClient sends requests one after the other and waits for each answer until it is lost.
func stuckClient(ctx context.Context, l *lab, number int, address string, tally *stuckTally) {
	var conn net.Conn
	var br *bufio.Reader
	body := make([]byte, stuckBody)
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, stuckPeriod-time.Since(l.began)%stuckPeriod)
		if ctx.Err() != nil {
			return
		}
		method, path, timeout, content := http.MethodGet, "/chute/", 1500*time.Millisecond, []byte(nil)
		headers := map[string]string{}
		switch draw := rand.Float64(); {
		case draw < stuckBatches:
			method, path, timeout, content = http.MethodPost, "/batch/", 1500*time.Millisecond, body
		case draw < stuckBatches+0.1:
			method, path, timeout, content = http.MethodPost, "/divert/", 750*time.Millisecond, []byte("divert")
			headers["Idempotency-Key"] = fmt.Sprintf("%d-%d", number, i)
		}
		headers["Flint-Time"] = fmt.Sprint(timeout.Seconds())
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", address); err != nil {
				l.notef("client %d: %v", number, err)
				return
			}
			br = bufio.NewReader(conn)
		}
		path = fmt.Sprintf("%s%d-%d", path, number, i)
		result := call(conn, br, method, path, headers, content, timeout+stuckPatience)
		l.notef("client %d: %s %s (%v): %q after %.3f s", number, method, path, timeout, result.answer, result.elapsed.Seconds())
		tally.mu.Lock()
		if result.err != nil {
			result.answer = "none"
		}
		tally.answers[result.answer]++
		if result.elapsed > timeout+stuckSlack {
			lost := fmt.Sprintf("client %d: %s %s got no answer in time (%v): after %.3f s %q, error %v", number, method, path, timeout,
				result.elapsed.Seconds(), result.answer, result.err)
			tally.lost = append(tally.lost, lost)
			l.notef("%s", lost)
		}
		tally.mu.Unlock()
		sleep(ctx, time.Duration(result.pause*float64(time.Second)))
		if result.err != nil {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}
