package budgeter

import (
	"io"
	"net/http"
	"time"
)

// Bound returns a handler that tells the listener which requests have been read
// completely. timeout bounds how long a body may take to arrive. Requests on exempt
// connections pass.
func Bound(handler http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, served := r.Context().Value(connKey{}).(*servedConn)
		if !served {
			handler.ServeHTTP(w, r)
			return
		}
		b := c.listener.budgeter
		if r.ContentLength == 0 {
			b.enter(c, phaseHandling)
			handler.ServeHTTP(w, r)
			return
		}
		b.enter(c, phaseBody)
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
		// The server still needs the body of its own request.
		bounded := r.WithContext(r.Context())
		bounded.Body = &body{ReadCloser: r.Body, conn: c}
		handler.ServeHTTP(w, bounded)
	})
}

// body is the body of a request on a connection.
type body struct {
	io.ReadCloser
	conn *servedConn
}

// Read reads from the body and notes its end.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF {
		b.conn.listener.budgeter.move(b.conn, phaseBody, phaseHandling)
	}
	return n, err
}
