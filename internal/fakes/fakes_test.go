package fakes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"testing"
)

// readLines reads count lines and returns them without their line ends.
func readLines(t *testing.T, br *bufio.Reader, count int) (lines []string) {
	t.Helper()
	for range count {
		line, err := br.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, strings.TrimRight(line, "\r\n"))
	}
	return lines
}

// Checks that the endpoint list is streamed byte for byte as the platform does: the full list, then changes, then empty
// lines.
func TestPlatformSiteStreamsEndpoints(t *testing.T) {
	site := NewPlatformSite("n1")
	defer site.Close()
	site.SetEndpoint("u1", "127.0.0.1:1", 1, "SERVING")
	address, _, err := site.StartDiscovery(nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Get("http://" + address + "/")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	const entry = `{"hosts":[{"block":0,"born_ms":0,"class":"m","dial":"127.0.0.1:1","health":"%s","host":"u1","image_id":1,"share":1,"site":"a"}],"seq":%d,"whole":%t}`
	site.SetEndpoint("u1", "127.0.0.1:1", 1, "DRAINING")
	got := readLines(t, bufio.NewReader(response.Body), 3)
	want := []string{fmt.Sprintf(entry, "SERVING", 1, true), fmt.Sprintf(entry, "DRAINING", 2, false), ""}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("line %d: %s\nwant %s", i, got[i], want[i])
		}
	}
}

// Checks that votes advance the canary stage by stage, and that the first of every three votes gets an invalid answer.
func TestPlatformSiteVotes(t *testing.T) {
	site := NewPlatformSite("n1")
	defer site.Close()
	address, _, err := site.StartControlService()
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answers := bufio.NewReader(c)
	age := regexp.MustCompile(` \d+$`)
	for _, step := range []struct{ vote, want string }{
		{"vote 2 0 PROCEED", "OK 2 0 tr\x00al"},
		{"vote 2 0 PROCEED", "OK 2 1 trial 0.5 MS"},
		{"vote 2 1 HOLD", "OK 2 1 trial 0.5 MS"},
		{"vote 2 1 PROCEED", "OK 2 0 tr\x00al"},
		{"vote 2 1 PROCEED", "OK 2 1 released 1 MS"},
	} {
		fmt.Fprintf(c, "%s\r\n", step.vote)
		line := "*"
		for line == "*" { // sent on idle connections
			line = readLines(t, answers, 1)[0]
		}
		if got := age.ReplaceAllString(line, " MS"); got != step.want {
			t.Errorf("%s: %q, want %q", step.vote, got, step.want)
		}
	}
	if !site.Released() || site.Votes() != 5 {
		t.Errorf("released %t after %d votes, want true after 5", site.Released(), site.Votes())
	}
}

// Checks that the query server evaluates selectors and responds according to its fault.
func TestQueryServer(t *testing.T) {
	q, err := StartQueryServer(func() float64 { return 100 })
	if err != nil {
		t.Fatal(err)
	}
	defer q.Stop()
	for i := range 10 {
		q.AddSamples(90+float64(i), []Sample{{"up", map[string]string{"unit": "7"}, float64(i)}})
	}
	const metric = `"metric":{"__name__":"up","unit":"7"}`
	for _, test := range []struct {
		fault      QueryServerFault
		path       string
		wantStatus int
		want       string
	}{
		{NoFault, "query?query=up", 200, `{"status":"success","data":{"resultType":"vector","result":[{` + metric + `,"value":[100,"9"]}]}}`},
		{NoFault, "query?time=92&query=" + url.QueryEscape("up[1s]"), 200,
			`{"status":"success","data":{"resultType":"matrix","result":[{` + metric + `,"values":[[92,"2"]]}]}}`},
		{NoFault, "query_range?start=90&end=94&step=2&query=up", 200,
			`{"status":"success","data":{"resultType":"matrix","result":[{` + metric + `,"values":[[90,"0"],[92,"2"],[94,"4"]]}]}}`},
		{NoFault, "query?query=" + url.QueryEscape("rate(up[1s])"), 422,
			`{"status":"error","errorType":"execution","error":"the fake query server evaluates selectors only"}`},
		{FaultOldTimestamps, "query?query=up", 200, `{"status":"success","data":{"resultType":"vector","result":[{` + metric + `,"value":[-86300,"9"]}]}}`},
		{FaultTooManyRequests, "query?query=up", 429, "too many requests\n"},
		{FaultUnavailable, "query?query=up", 503, "overloaded\n"},
		{FaultNotJSON, "query?query=up", 200, "<html><body>It works!</body></html>"},
	} {
		q.SetFault(test.fault)
		response, err := http.Get(q.URL + "/api/v1/" + test.path)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != test.wantStatus || string(body) != test.want {
			t.Errorf("%q %s: %d %s %v\nwant %d %s", test.fault, test.path, response.StatusCode, body, err, test.wantStatus, test.want)
		}
	}
	if q.Queries() != 8 {
		t.Errorf("%d queries, want 8", q.Queries())
	}
}
