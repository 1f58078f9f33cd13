package budgeter

import (
	"io"
	"net"
	"net/http"
	"time"
)

// refusedTimeout bounds how long the rest of a refused body may take to arrive.
const refusedTimeout = 2 * time.Second

// Bound returns a handler that tells the listener which requests have been read
// completely, and refuses those whose bodies do not fit into the memory, before their
// bodies are read; refuse writes the response. timeout bounds how long a body may take
// to arrive. Requests on exempt connections pass.
func Bound(handler http.Handler, timeout time.Duration, refuse http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, served := r.Context().Value(connKey{}).(*servedConn)
		if !served {
			handler.ServeHTTP(w, r)
			return
		}
		request := &boundRequest{writer: writer{ResponseWriter: w, conn: c}}
		w = &request.writer
		b, size := c.listener.budgeter, r.ContentLength
		exempt := (size < 0 || size > freeBytes) && c.listener.isExempt(c)
		arrived, admitted := b.begin(c, size, exempt)
		if size == 0 {
			handler.ServeHTTP(w, r)
			return
		}
		if !exempt && !arrived {
			if !admitted {
				timeout = min(timeout, refusedTimeout)
			}
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
		}
		if !admitted {
			refuse(w, r)
			return
		}
		request.body = body{ReadCloser: r.Body, conn: c, unknown: size < 0 && !exempt}
		// The server still needs the body of its own request.
		bounded := r.WithContext(r.Context())
		bounded.Body = &request.body
		handler.ServeHTTP(w, bounded)
	})
}

// boundRequest is what a handler gets for a request.
type boundRequest struct {
	writer writer
	body   body
}

// body is the body of a request on a connection.
type body struct {
	io.ReadCloser
	conn    *servedConn
	unknown bool
	size    int64
}

// Read reads from the body. If the memory for more of it is missing, it closes the
// connection.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.size += int64(n)
	if err == io.EOF {
		b.conn.listener.budgeter.complete(b.conn)
		return n, err
	}
	if b.unknown && n > 0 && !b.conn.listener.budgeter.grow(b.conn, b.size) {
		_ = b.conn.Close()
	}
	return n, err
}

// writer writes the response to a request on a connection.
type writer struct {
	http.ResponseWriter
	conn *servedConn
}

// Write writes a part of the response. If the memory for a large one is missing, it closes
// the connection.
func (w *writer) Write(data []byte) (int, error) {
	if len(data) <= bufferBytes {
		return w.ResponseWriter.Write(data)
	}
	b := w.conn.listener.budgeter
	if !b.answers(w.conn, len(data)) {
		_ = w.conn.Close()
		return 0, net.ErrClosed
	}
	defer b.answers(w.conn, 0)
	return w.ResponseWriter.Write(data)
}

// Flush sends what has been written.
func (w *writer) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// Unwrap returns the writer of the server, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
