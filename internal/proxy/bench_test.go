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

// The benchmarks' clients and endpoints parse as little as possible and do not allocate, so that the results
// reflect the cost of the proxy between them.

var plainAnswer = []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\nchute 17")

// newQuickEndpoint starts an endpoint that immediately answers each request. Requests must have no body.
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

// skipHead reads the head of a message and returns the length of the body that follows, or -1 if reading fails.
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

// runLoad sends b.N requests over conns connections, one at a time on each connection, and reports throughput and
// latency.
func runLoad(b *testing.B, addr string, conns int) {
	histograms := make([]*hdrhistogram.Histogram, conns)
	var remaining atomic.Int64
	var started, done sync.WaitGroup
	start := make(chan struct{})
	request := []byte("GET /chute/17 HTTP/1.1\r\nHost: bench\r\nUser-Agent: bench\r\nFlint-Time: 0.7\r\n\r\n")
	for i := range conns {
		histograms[i] = hdrhistogram.New(1, 10_000_000, 3) // µs
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		started.Add(1)
		done.Go(func() {
			defer conn.Close()
			br := bufio.NewReaderSize(conn, 4096)
			roundTrip := func() bool {
				if _, err := conn.Write(request); err != nil {
					return false
				}
				n := skipHead(br)
				if n < 0 {
					return false
				}
				_, err := br.Discard(n)
				return err == nil
			}
			roundTrip() // warm up the connection
			started.Done()
			<-start
			for remaining.Add(-1) >= 0 {
				sentAt := time.Now()
				if !roundTrip() {
					b.Error("the connection ended before the answer was complete")
					return
				}
				if err := histograms[i].RecordValue(time.Since(sentAt).Microseconds()); err != nil {
					b.Error(err)
				}
			}
		})
	}
	started.Wait()
	runtime.GC()
	remaining.Store(int64(b.N))
	b.ReportAllocs()
	b.ResetTimer()
	close(start)
	done.Wait()
	b.StopTimer()
	for _, h := range histograms[1:] {
		histograms[0].Merge(h)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(99)), "p99-µs")
}

// newBenchHarness starts a proxy in front of endpointCount quick endpoints.
func newBenchHarness(b *testing.B, endpointCount int) *harness {
	h := newHarness(b, func(s *config.Router) {
		s.Endpoints.MaxConnsPerEndpoint, s.Clients.MaxConns, s.Rules.RouterGroups = 1024, 4096, 1
	})
	var list []endpoints.Endpoint
	for i := range endpointCount {
		list = append(list, endpoints.Endpoint{ID: uint32(i + 1), Addr: newQuickEndpoint(b).Addr().String(), State: "ready", Build: 1})
	}
	h.updateEndpoints(true, list...)
	return h
}

// BenchmarkProxies compares no proxy (direct), the standard library's reverse proxy (ReverseProxy) and this package's
// proxy (relay), with the same clients and endpoint.
func BenchmarkProxies(b *testing.B) {
	const conns = 256
	b.Run("direct", func(b *testing.B) { runLoad(b, newQuickEndpoint(b).Addr().String(), conns) })
	b.Run("ReverseProxy", func(b *testing.B) {
		target, _ := url.Parse("http://" + newQuickEndpoint(b).Addr().String())
		reverseProxy := httputil.NewSingleHostReverseProxy(target)
		reverseProxy.Transport = &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
		reverseProxy.ErrorLog = log.New(io.Discard, "", 0)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := &http.Server{Handler: reverseProxy}
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				b.Error(err)
			}
		}()
		defer server.Close()
		runLoad(b, listener.Addr().String(), conns)
	})
	b.Run("relay", func(b *testing.B) { runLoad(b, newBenchHarness(b, 1).listener.Addr().String(), conns) })
}

// BenchmarkFleet measures the proxy in front of 100 endpoints with 1,000 client connections.
func BenchmarkFleet(b *testing.B) {
	h := newBenchHarness(b, 100)
	before := h.proxy.Stats()
	runLoad(b, h.listener.Addr().String(), 1000)
	after := h.proxy.Stats()
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric((after.PolicySeconds-before.PolicySeconds)/b.Elapsed().Seconds(), "policy-cores")
	b.ReportMetric((after.PolicySeconds-before.PolicySeconds)/float64(after.PolicyCalls-before.PolicyCalls)*1e9, "policy-ns/call")
	b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/(1<<20), "MiB")
	b.ReportMetric(float64(after.Rejected-before.Rejected)/float64(b.N), "nacked/op")
}

// BenchmarkLongLife measures a proxy whose endpoint list and keys keep changing. One operation has the changes of one
// day: 200 endpoints are replaced, and 2,000 keys are each used once. The memory reported at the end must not grow with
// b.N.
func BenchmarkLongLife(b *testing.B) {
	h := newHarness(b, func(s *config.Router) {
		s.Rules.OneWayKeys, s.Rules.MaxRememberedKeys, s.Rules.ForgetEndpointSeconds = true, 10000, 1.6
	})
	addr := newQuickEndpoint(b).Addr().String()
	id := uint32(0)
	var memory runtime.MemStats
	client := h.dial()
	for b.Loop() {
		var list []endpoints.Endpoint
		for range 200 {
			id++
			list = append(list, endpoints.Endpoint{ID: id, Addr: addr, State: "ready", Build: 1 + int(id)%2})
		}
		h.updateEndpoints(true, list...)
		for k := range 2000 {
			fmt.Fprintf(client, "GET /chute/1 HTTP/1.1\r\nHost: x\r\nFlint-Key: %d-%d\r\n\r\n", id, k)
			if _, err := client.br.Discard(skipHead(client.br)); err != nil {
				b.Fatal(err)
			}
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapInuse)/(1<<20), "heap-MiB")
	b.ReportMetric(float64(h.proxy.Stats().Endpoints), "units")
}

// BenchmarkBalancerSerialization compares two ways to serialize the two balancer calls per request from many
// goroutines: a mutex (lock), and an owner goroutine that receives the calls over a channel (owner).
func BenchmarkBalancerSerialization(b *testing.B) {
	settings := newHarness(b, nil).proxy.settings
	newBalancer := func() *policy.Balancer {
		balancer := policy.New(settings.Policy(), 1, 100)
		balancer.BeginEndpointList(true)
		for i := range uint32(100) {
			balancer.UpdateEndpoint(i+1, 0, 0, 1, policy.Ready, 1, 0)
		}
		balancer.EndEndpointList(100)
		return balancer
	}
	serveRequest := func(balancer *policy.Balancer, now float64) {
		request := &policy.Request{ReceivedAt: now, Deadline: now + 0.7}
		if decision := balancer.Pick(now, request); decision.Action == policy.Send {
			request.Completed = true
			balancer.OnAttemptDone(now, request, 0, policy.Succeeded, 0.001)
		}
	}
	for _, workers := range []int{1, 64} {
		runWorkers := func(b *testing.B, call func(now float64)) {
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			var done sync.WaitGroup
			start := time.Now()
			for range workers {
				done.Go(func() {
					for remaining.Add(-1) >= 0 {
						call(100 + time.Since(start).Seconds())
					}
				})
			}
			done.Wait()
		}
		b.Run(fmt.Sprintf("lock-%d", workers), func(b *testing.B) {
			balancer, mu := newBalancer(), sync.Mutex{}
			last := 100.0
			runWorkers(b, func(now float64) {
				mu.Lock()
				last = max(last, now)
				serveRequest(balancer, last)
				mu.Unlock()
			})
		})
		b.Run(fmt.Sprintf("owner-%d", workers), func(b *testing.B) {
			balancer := newBalancer()
			type call struct {
				now  float64
				done chan struct{}
			}
			calls := make(chan call, 64)
			go func() {
				last := 100.0
				for next := range calls {
					last = max(last, next.now)
					serveRequest(balancer, last)
					next.done <- struct{}{}
				}
			}()
			doneChans := sync.Pool{New: func() any { return make(chan struct{}, 1) }}
			runWorkers(b, func(now float64) {
				done := doneChans.Get().(chan struct{})
				calls <- call{now, done}
				<-done
				doneChans.Put(done)
			})
			close(calls)
		})
	}
}
