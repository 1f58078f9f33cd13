package node

import (
	"net/http"
	"time"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/responder"
)

const (
	// requestMemoryPercent is the share of the memory in the settings that requests and
	// responses may take at a time.
	requestMemoryPercent = 24
	// defaultRequestMemory is that bound if the settings have no memory, in bytes.
	defaultRequestMemory = 64 << 20
	// bodyRetryAfter is when a caller may send a call again that was refused for its
	// body.
	bodyRetryAfter = time.Second
)

// requestMemory returns the bound of the memory for requests, in bytes.
func requestMemory(settings *loader.NodeSettings) int64 {
	if settings.MemoryMiB == 0 {
		return defaultRequestMemory
	}
	return settings.MemoryMiB << 20 * requestMemoryPercent / 100
}

const bodyRefusal = "other calls take all the memory that they may; nothing was done"

// refuse answers a request whose body does not fit into the memory.
func refuse(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == forwarder.Path {
		_ = forwarder.Answer{
			Code: responder.CodeOverloaded, Reason: bodyRefusal, RetryAfterMillis: bodyRetryAfter.Milliseconds(),
		}.Respond(w)
		return
	}
	responder.Write(w, responder.Problem{
		Status: http.StatusTooManyRequests, Code: responder.CodeOverloaded, Reason: bodyRefusal, RetryAfter: bodyRetryAfter,
	})
}
