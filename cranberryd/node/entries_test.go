package node_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
)

// lockedBuffer collects what several nodes log.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(line)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Guards against an odd entry of another writer, or a call of that kind, that an instance
// can read and can't pass on: the forwarding instance took the leader for unreachable.
// All others must be served meanwhile.
func TestOddEntriesKeepLeaderFollowed(t *testing.T) {
	const entry = `{"worker-pool":"p","address":"w-1:1","data-center":"d","state":"ready","sequence":1,"born":1,"capacity":{"accelerators":8}%s}`
	nested := func(depth int) string { return strings.Repeat("[", depth-1) + strings.Repeat("]", depth-1) }
	odd := []string{
		fmt.Sprintf(entry, `,"extra":`+nested(9999)), fmt.Sprintf(entry, `,"extra":`+nested(10000)), fmt.Sprintf(entry, `,"extra":`+nested(30000)),
		fmt.Sprintf(entry, `,"sequence":1e400`), fmt.Sprintf(entry, `,"sequence":92233720368547758080`), fmt.Sprintf(entry, `,"born":9223372036854775807`),
		fmt.Sprintf(entry, `,"born":32503680000000`), fmt.Sprintf(entry, `,"sequence":9223372036854775807`), fmt.Sprintf(entry, `,"clock-ms":9223372036854775807`),
		fmt.Sprintf(entry, `,"address":"w-1:65536"`), fmt.Sprintf(entry, `,"address":"w-1:99999999999999999999"`),
	}
	synctest.Test(t, func(t *testing.T) {
		var logs lockedBuffer
		logger := log.NewLogfmtLogger(&logs)
		nodes, client := startSystem(t, logger)
		call := func(method, url, body string) int {
			request, err := http.NewRequest(method, url, strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			response, err := client.Do(request)
			if err != nil {
				t.Errorf("%s %s: %v", method, url, err)
				return 0
			}
			defer response.Body.Close()
			_, _ = io.Copy(io.Discard, response.Body)
			return response.StatusCode
		}
		time.Sleep(5 * time.Second)
		before := len(logs.text())
		for _, body := range odd {
			for i := 1; i <= 3; i++ {
				if status := call(http.MethodPut, fmt.Sprintf("http://core-%d:8000/v1/instances/w-1", i), body); status != http.StatusBadRequest {
					t.Errorf("core-%d answers %.150s with status %d", i, body, status)
				}
			}
			if status := call(http.MethodPost, "http://edge-1:80/q/00000000000000aa", body); status != http.StatusBadRequest && status != http.StatusServiceUnavailable {
				t.Errorf("the gateway answers %.150s with status %d", body, status)
			}
			for i := 1; i <= 3; i++ {
				if status := call(http.MethodPut, fmt.Sprintf("http://core-%d:8000/v1/instances/w-%d", i, 1+i), fmt.Sprintf(entry, "")); status != http.StatusOK {
					t.Errorf("core-%d answers a sound entry after %.150s with status %d", i, body, status)
				}
			}
			if err := nodes[3].Ready(); err != nil {
				t.Errorf("the gateway is not ready after %.150s: %v", body, err)
			}
		}
		if since := logs.text()[before:]; strings.Contains(since, "leader-lost") || strings.Contains(since, "entry-decode-failed") {
			t.Errorf("an instance has lost the leader or an entry: %s", since)
		}
		stopSystem(t, nodes, client)
	})
}
