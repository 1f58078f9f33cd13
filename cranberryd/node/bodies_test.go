package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/forwarder"
)

// Guards against many large bodies at a time that use up the memory of one gateway after
// the other: beyond the budget, calls are refused before their bodies are read, small
// calls and the log's messages pass, and ended calls give their memory back.
func TestLargeBodiesAreRefusedBeyondMemory(t *testing.T) {
	const size, fitting = 250_000, 5
	budget := newBodyBudget(&loader.NodeSettings{MemoryMiB: fitting * size * 100 / bodyMemoryPercent >> 20})
	release := make(chan struct{})
	var entered sync.WaitGroup
	held := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entered.Done()
		<-release
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusOK)
	})
	call := func(handler http.Handler, path string, bytes int) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(strings.Repeat("x", bytes))))
		return w
	}
	var done sync.WaitGroup
	entered.Add(fitting - 1)
	for range fitting - 1 {
		done.Go(func() { call(budget.bound(held, refuseCall), "/", size) })
	}
	entered.Wait()
	answered := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	refused := call(budget.bound(answered, refuseCall), "/", 2*size)
	if refused.Code != http.StatusTooManyRequests || refused.Header().Get("Retry-After") == "" {
		t.Errorf("a large call: %d %v, want 429 and when to retry", refused.Code, refused.Header())
	}
	if w := call(budget.boundForwarded(answered), forwarder.Path, 2*size); !strings.Contains(w.Body.String(), `"code":"overloaded"`) {
		t.Errorf("a large forwarded call: %d %s, want it refused as overloaded", w.Code, w.Body)
	}
	for _, passes := range []struct {
		handler http.Handler
		path    string
		bytes   int
	}{
		{budget.bound(answered, refuseCall), "/", smallBody},
		{budget.boundForwarded(answered), "/log/messages", 4 * size},
	} {
		if w := call(passes.handler, passes.path, passes.bytes); w.Code != http.StatusNoContent {
			t.Errorf("%d bytes to %s: %d, want them to pass", passes.bytes, passes.path, w.Code)
		}
	}
	close(release)
	done.Wait()
	if w := call(budget.bound(answered, refuseCall), "/", 2*size); w.Code != http.StatusNoContent {
		t.Errorf("after the others have ended: %d", w.Code)
	}
	if used := budget.used.Load(); used != 0 {
		t.Errorf("%d bytes are still counted", used)
	}
}
