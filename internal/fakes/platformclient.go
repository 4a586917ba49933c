package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"flintspread/internal/invariants"
	"flintspread/internal/platform/resp"
)

// RunClient sends requests one after another until stop is closed. It keeps using one connection and replaces it after
// an error. Each client of a site needs a number of its own.
func (s *PlatformSite) RunClient(number int, address string, stop <-chan struct{}) {
	var c net.Conn
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	var br *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", address); err != nil {
				return // the router has stopped
			}
			br = bufio.NewReader(c)
		}
		if err := s.sendRequest(c, br, number, i); err != nil {
			c.Close()
			c = nil
		}
	}
}

// sendRequest sends the i-th request of a client and records its outcome.
func (s *PlatformSite) sendRequest(c net.Conn, br *bufio.Reader, client, i int) error {
	request := &invariants.Request{
		ID: uint64(client)<<32 | uint64(i+1), RouterGroup: s.RouterGroup, DedupScope: "all", DedupWindowSeconds: 5, PriorityWeight: 1,
		LatencyObjectiveSeconds: 0.3,
	}
	encoded := encodeSiteRequest(request, i)
	request.SentAt = s.Clock()
	request.FirstSentAt, request.Deadline = request.SentAt, request.SentAt+siteTimeoutSeconds
	s.Record.Update(func(r *invariants.Record) { r.Requests[request.ID] = request })
	kind, err := exchange(c, br, encoded, request.ID)
	s.Record.Update(func(*invariants.Record) {
		if err != nil {
			request.ClosedAt = s.Clock()
		} else {
			request.Answers = append(request.Answers, invariants.Answer{At: s.Clock(), Kind: kind})
		}
	})
	return err
}

// encodeSiteRequest sets the class and idempotency of the i-th request, and returns the request as a RESP2 command.
func encodeSiteRequest(request *invariants.Request, i int) []byte {
	command, options, hasBody := "API.WRITE", "", true
	switch i % 3 {
	case 0:
		request.Class, request.Idempotency = "lookup", invariants.Idempotent
		command, options, hasBody = "API.READ", "c=lookup,d=400", false
	case 1:
		request.Class, request.Idempotency = "order", invariants.IdempotentWithKey
		options = fmt.Sprintf("c=order,d=400,k=%x", request.ID)
	default:
		request.Class, request.Idempotency = "seal", invariants.NonIdempotent
		options = "c=seal,d=400"
	}
	words := []string{command, fmt.Sprintf("key%d", i%7), fmt.Sprintf("%016x", request.ID), options}
	if hasBody {
		words = append(words, "BODY")
	}
	encoded := resp.AppendArray(nil, len(words))
	for _, word := range words {
		encoded = resp.AppendBulk(encoded, word)
	}
	return encoded
}

// exchange sends a request and reads the answer. kind is empty if the answer is of no known kind. An answer counts even
// if the write failed, because the router may have answered before it had read the whole request.
func exchange(c net.Conn, br *bufio.Reader, encoded []byte, id uint64) (kind string, err error) {
	_, writeErr := c.Write(encoded)
	c.SetReadDeadline(time.Now().Add(siteAnswerTimeout))
	line, err := br.ReadString('\n')
	switch {
	case err != nil:
	case strings.HasPrefix(line, "-BUSY"):
		return outcomeRejected, nil
	case strings.HasPrefix(line, "-ERR"):
		return outcomeFailed, nil
	case line == "$17\r\n":
		var value string
		if value, err = br.ReadString('\n'); err == nil && value == fmt.Sprintf("v%016x\r\n", id) {
			return outcomeSucceeded, nil
		}
	}
	if err != nil {
		return "", errors.Join(writeErr, err)
	}
	return "", nil
}
