package node

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/responder"
)

const (
	// smallBody is the size up to which the body of a call is not counted: the number
	// of connections bounds their sum.
	smallBody = 8 << 10
	// unknownBody is what a body of unknown size counts.
	unknownBody = 256 << 10
	// bodyMemoryPercent is the share of the memory in the settings that the bodies of
	// calls may have at a time. Each is copied a few times until it is forwarded.
	bodyMemoryPercent = 5
	// defaultBodyMemory is that bound if the settings have no memory, in bytes.
	defaultBodyMemory = 16 << 20
	// bodyRetryAfter is when a caller may send a call again that was refused for its
	// body.
	bodyRetryAfter = time.Second
)

// bodyBudget bounds the bodies of the calls that the process handles at a time, so that
// many large ones do not use up its memory. It is safe for concurrent use.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
	// refused counts the refused calls.
	refused atomic.Int64
}

// bodyUsage is the use of a bodyBudget, in bytes.
type bodyUsage struct {
	Limit   int64 `json:"limit"`
	Used    int64 `json:"used"`
	Refused int64 `json:"refused"`
}

func (b *bodyBudget) usage() any {
	return bodyUsage{Limit: b.limit, Used: b.used.Load(), Refused: b.refused.Load()}
}

func newBodyBudget(settings *loader.NodeSettings) *bodyBudget {
	if settings.MemoryMiB == 0 {
		return &bodyBudget{limit: defaultBodyMemory}
	}
	return &bodyBudget{limit: settings.MemoryMiB << 20 * bodyMemoryPercent / 100}
}

// take reserves memory for a body and reports whether it is left. A body that is larger
// than the whole budget is taken alone.
func (b *bodyBudget) take(size int64) bool {
	if used := b.used.Add(size); used <= b.limit || used == size {
		return true
	}
	b.used.Add(-size)
	b.refused.Add(1)
	return false
}

// bound returns a handler that refuses calls whose bodies do not fit into the budget,
// before their bodies are read. refuse writes the response.
func (b *bodyBudget) bound(handler http.Handler, refuse http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := r.ContentLength
		if size < 0 {
			size = unknownBody
		}
		if size <= smallBody {
			handler.ServeHTTP(w, r)
			return
		}
		if !b.take(size) {
			refuse(w, r)
			return
		}
		defer b.used.Add(-size)
		handler.ServeHTTP(w, r)
	})
}

const bodyRefusal = "the bodies of other calls take all the memory that they may; nothing was done"

func refuseCall(w http.ResponseWriter, _ *http.Request) {
	responder.Write(w, responder.Problem{
		Status: http.StatusTooManyRequests, Code: responder.CodeOverloaded, Reason: bodyRefusal, RetryAfter: bodyRetryAfter,
	})
}

// refuseForwarded answers a call that another instance has forwarded.
func refuseForwarded(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(forwarder.Answer{
		Code: responder.CodeOverloaded, Reason: bodyRefusal, RetryAfterMillis: bodyRetryAfter.Milliseconds(),
	})
}

// boundForwarded bounds the bodies of forwarded calls; those of the log's messages pass.
func (b *bodyBudget) boundForwarded(handler http.Handler) http.Handler {
	bounded := b.bound(handler, refuseForwarded)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == forwarder.Path {
			bounded.ServeHTTP(w, r)
			return
		}
		handler.ServeHTTP(w, r)
	})
}
