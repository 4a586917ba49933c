package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"flintspread/internal/config"
	"flintspread/internal/endpoints"
	"flintspread/internal/fakes"
	"flintspread/internal/policy"
)

// The benchmarks' clients and endpoints parse as little as possible and allocate nothing, so that the proxy between
// them is what is measured.

var plainAnswer = []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\nchute 17")

// newQuickEndpoint starts an endpoint that answers each request without a body at once.
func newQuickEndpoint(b *testing.B) net.Listener {
	l, err := fakes.ServeConns(func(c net.Conn) {
		br := bufio.NewReaderSize(c, 4096)
		for skipHead(br) >= 0 {
			if _, err := c.Write(plainAnswer); err != nil {
				return
			}
		}
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	return l
}

// skipHead reads up to a blank line and returns the length of the body that follows, or -1 at the end of the stream.
func skipHead(br *bufio.Reader) int {
	length := 0
	for {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return -1
		}
		if len(line) <= 2 {
			return length
		}
		if v, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
			length, _ = strconv.Atoi(string(bytes.TrimSpace(v)))
		}
	}
}

// runLoad sends b.N requests over a number of connections, one request at a time on each, and reports throughput and
// latency.
func runLoad(b *testing.B, addr string, conns int) {
	hist := make([]*hdrhistogram.Histogram, conns)
	var left atomic.Int64
	var started, done sync.WaitGroup
	begin := make(chan struct{})
	ask := []byte("GET /chute/17 HTTP/1.1\r\nHost: bench\r\nUser-Agent: bench\r\nFlint-Time: 0.7\r\n\r\n")
	for i := range conns {
		hist[i] = hdrhistogram.New(1, 10_000_000, 3) // µs
		c, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		started.Add(1)
		done.Go(func() {
			defer c.Close()
			br := bufio.NewReaderSize(c, 4096)
			once := func() bool {
				if _, err := c.Write(ask); err != nil {
					return false
				}
				n := skipHead(br)
				if n < 0 {
					return false
				}
				_, err := br.Discard(n)
				return err == nil
			}
			once() // open and warm up the connections
			started.Done()
			<-begin
			for left.Add(-1) >= 0 {
				from := time.Now()
				if !once() {
					b.Error("a connection broke")
					return
				}
				if err := hist[i].RecordValue(time.Since(from).Microseconds()); err != nil {
					b.Error(err)
				}
			}
		})
	}
	started.Wait()
	runtime.GC()
	left.Store(int64(b.N))
	b.ReportAllocs()
	b.ResetTimer()
	close(begin)
	done.Wait()
	b.StopTimer()
	for _, h := range hist[1:] {
		hist[0].Merge(h)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
	b.ReportMetric(float64(hist[0].ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(hist[0].ValueAtQuantile(99)), "p99-µs")
}

// newBenchHarness starts a proxy in front of a number of quick endpoints.
func newBenchHarness(b *testing.B, units int) *harness {
	h := newHarness(b, func(s *config.Router) {
		s.Endpoints.MaxConnsPerEndpoint, s.Clients.MaxConns, s.Rules.RouterGroups = 1024, 4096, 1
	})
	var list []endpoints.Endpoint
	for i := range units {
		list = append(list, endpoints.Endpoint{ID: uint32(i + 1), Addr: newQuickEndpoint(b).Addr().String(), State: "ready", Build: 1})
	}
	h.updateEndpoints(true, list...)
	return h
}

// BenchmarkProxies compares no proxy, the standard library's reverse proxy and this one, with the same clients and
// endpoint.
func BenchmarkProxies(b *testing.B) {
	const conns = 256
	b.Run("direct", func(b *testing.B) { runLoad(b, newQuickEndpoint(b).Addr().String(), conns) })
	b.Run("ReverseProxy", func(b *testing.B) {
		to, _ := url.Parse("http://" + newQuickEndpoint(b).Addr().String())
		p := httputil.NewSingleHostReverseProxy(to)
		p.Transport = &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
		p.ErrorLog = log.New(io.Discard, "", 0)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		srv := &http.Server{Handler: p}
		go func() {
			if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				b.Error(err)
			}
		}()
		defer srv.Close()
		runLoad(b, l.Addr().String(), conns)
	})
	b.Run("relay", func(b *testing.B) { runLoad(b, newBenchHarness(b, 1).listener.Addr().String(), conns) })
}

// BenchmarkFleet measures the proxy in front of 100 endpoints with 1,000 client connections.
func BenchmarkFleet(b *testing.B) {
	h := newBenchHarness(b, 100)
	before := h.proxy.Stats()
	runLoad(b, h.listener.Addr().String(), 1000)
	n := h.proxy.Stats()
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	b.ReportMetric((n.PolicySeconds-before.PolicySeconds)/b.Elapsed().Seconds(), "policy-cores")
	b.ReportMetric((n.PolicySeconds-before.PolicySeconds)/float64(n.PolicyCalls-before.PolicyCalls)*1e9, "policy-ns/call")
	b.ReportMetric(float64(m.HeapInuse+m.StackInuse)/(1<<20), "MiB")
	b.ReportMetric(float64(n.Rejected-before.Rejected)/float64(b.N), "nacked/op")
}

// BenchmarkLongLife measures a proxy whose endpoint list and keys keep changing. One operation is a day's worth: 200
// endpoints replaced and 2,000 keys seen once. The memory reported at the end must stay flat as b.N grows.
func BenchmarkLongLife(b *testing.B) {
	h := newHarness(b, func(s *config.Router) {
		s.Rules.OneWayKeys, s.Rules.MaxRememberedKeys, s.Rules.ForgetEndpointSeconds = true, 10000, 1.6
	})
	unit := newQuickEndpoint(b).Addr().String()
	id := uint32(0)
	var m runtime.MemStats
	c := h.dial()
	for b.Loop() {
		var list []endpoints.Endpoint
		for range 200 {
			id++
			list = append(list, endpoints.Endpoint{ID: id, Addr: unit, State: "ready", Build: 1 + int(id)%2})
		}
		h.updateEndpoints(true, list...)
		for k := range 2000 {
			fmt.Fprintf(c, "GET /chute/1 HTTP/1.1\r\nHost: x\r\nFlint-Key: %d-%d\r\n\r\n", id, k)
			if _, err := c.br.Discard(skipHead(c.br)); err != nil {
				b.Fatal(err)
			}
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapInuse)/(1<<20), "heap-MiB")
	b.ReportMetric(float64(h.proxy.Stats().Endpoints), "units")
}

// BenchmarkOrder compares two ways to serialize the two balancer calls of a request from many goroutines: a mutex, and
// an owner goroutine that is called over a channel.
func BenchmarkOrder(b *testing.B) {
	set := newHarness(b, nil).proxy.settings
	fresh := func() *policy.Balancer {
		p := policy.New(set.Policy(), 1, 100)
		p.BeginEndpointList(true)
		for i := range uint32(100) {
			p.UpdateEndpoint(i+1, 0, 0, 1, policy.Ready, 1, 0)
		}
		p.EndEndpointList(100)
		return p
	}
	one := func(p *policy.Balancer, now float64) {
		c := &policy.Request{ReceivedAt: now, Deadline: now + 0.7}
		if s := p.Pick(now, c); s.Action == policy.Send {
			c.Attempts = append(c.Attempts, policy.Attempt{Endpoint: s.Endpoint, StartedAt: now, MayHaveRun: true})
			c.Completed = true
			p.OnAttemptDone(now, c, s.Endpoint, policy.Succeeded, 0.001)
		}
	}
	for _, workers := range []int{1, 64} {
		spread := func(b *testing.B, call func(now float64)) {
			var left atomic.Int64
			left.Store(int64(b.N))
			var done sync.WaitGroup
			from := time.Now()
			for range workers {
				done.Go(func() {
					for left.Add(-1) >= 0 {
						call(100 + time.Since(from).Seconds())
					}
				})
			}
			done.Wait()
		}
		b.Run(fmt.Sprintf("lock-%d", workers), func(b *testing.B) {
			p, mu := fresh(), sync.Mutex{}
			last := 100.0
			spread(b, func(now float64) {
				mu.Lock()
				last = max(last, now)
				one(p, last)
				mu.Unlock()
			})
		})
		b.Run(fmt.Sprintf("owner-%d", workers), func(b *testing.B) {
			p := fresh()
			type ask struct {
				now  float64
				done chan struct{}
			}
			asks := make(chan ask, 64)
			go func() {
				last := 100.0
				for a := range asks {
					last = max(last, a.now)
					one(p, last)
					a.done <- struct{}{}
				}
			}()
			answers := sync.Pool{New: func() any { return make(chan struct{}, 1) }}
			spread(b, func(now float64) {
				ch := answers.Get().(chan struct{})
				asks <- ask{now, ch}
				<-ch
				answers.Put(ch)
			})
			close(asks)
		})
	}
}
