// Package server serves all HTTP interfaces of a process on one address and checks
// the bearer token of each request.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/authenticator"
	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/responder"
)

const (
	readHeaderTimeout = 10 * time.Second
	// readTimeout bounds how long a request may take to arrive, with its body.
	readTimeout  = time.Minute
	idleTimeout  = 2 * time.Minute
	maxHeadBytes = 16 << 10
)

// Listen opens a listener on an address. Tests replace the operating system's.
type Listen func(address string) (net.Listener, error)

// Check returns the reason why a component is not ready, or nil if it is.
type Check func() error

// Server is the HTTP server of a process.
type Server struct {
	engine        *gin.Engine
	authenticator *authenticator.Authenticator
	http          *http.Server
	checks        []Check
	stopping      atomic.Bool
}

// New returns a server that begins to listen when the process starts. If serving
// fails later, the server only logs the event server-failed.
func New(lifecycle fx.Lifecycle, settings *loader.Settings, a *authenticator.Authenticator, r *recorder.Recorder, listen Listen, logger log.Logger) *Server {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.HandleMethodNotAllowed = true
	s := &Server{engine: engine, authenticator: a}
	s.http = &http.Server{
		Handler: engine, MaxHeaderBytes: maxHeadBytes,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
	engine.NoRoute(func(c *gin.Context) {
		responder.Fail(c, responder.Problem{Status: http.StatusNotFound, Code: responder.CodeNotFound, Reason: "no such path"})
	})
	engine.GET("/healthz", func(c *gin.Context) { c.Status(http.StatusOK) })
	engine.GET("/readyz", s.handleReady)
	engine.GET("/debug/vars", func(c *gin.Context) {
		c.Data(http.StatusOK, "application/json; charset=utf-8", []byte(r.Vars().String()))
	})
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return s.start(settings.Address, listen, logger) },
		OnStop:  s.stop,
	})
	return s
}

func (s *Server) start(address string, listen Listen, logger log.Logger) error {
	listener, err := listen(address)
	if err != nil {
		return fmt.Errorf("key %q: %w", "address", err)
	}
	go func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(logger).Log("event", "server-failed", "error", err)
		}
	}()
	return nil
}

func (s *Server) stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down the server: %w", err)
	}
	return nil
}

// SetStopping makes the process unready permanently.
func (s *Server) SetStopping() { s.stopping.Store(true) }

// AddCheck makes the readiness of the process depend on check. It must be called
// before the process starts.
func (s *Server) AddCheck(check Check) {
	s.checks = append(s.checks, check)
}

// Ready returns the reason why the process is not ready, or nil if it is.
func (s *Server) Ready() error {
	if s.stopping.Load() {
		return errStopping
	}
	for _, check := range s.checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

var errStopping = errors.New("shutting down")

func (s *Server) handleReady(c *gin.Context) {
	if err := s.Ready(); err != nil {
		responder.Fail(c, responder.Problem{Status: http.StatusServiceUnavailable, Code: responder.CodeUnavailable, Reason: err.Error()})
		return
	}
	c.Status(http.StatusOK)
}

// identityKey is the key of the sender's identity in a gin.Context.
const identityKey = "identity"

// Group returns a router that admits only requests with a token of one of the
// kinds. Others get 401 if the token is missing or unknown, and 403 if it is of
// another kind.
func (s *Server) Group(kinds ...authenticator.Kind) *gin.RouterGroup {
	return s.engine.Group("", func(c *gin.Context) {
		identity, err := s.authenticator.Check(c.Request, kinds...)
		switch {
		case errors.Is(err, authenticator.ErrUnknownToken):
			responder.Fail(c, responder.Problem{Status: http.StatusUnauthorized, Code: responder.CodeUnauthorized, Reason: err.Error()})
		case err != nil:
			responder.Fail(c, responder.Problem{Status: http.StatusForbidden, Code: responder.CodeForbidden, Reason: err.Error()})
		default:
			c.Set(identityKey, identity)
		}
	})
}

// Identity returns the identity of the sender of a request. It panics for a request
// that was not admitted by a router of Group.
func Identity(c *gin.Context) authenticator.Identity {
	identity, _ := c.MustGet(identityKey).(authenticator.Identity)
	return identity
}

// Handler returns the HTTP handler of all interfaces, for use without a listener.
func (s *Server) Handler() http.Handler { return s.engine }
