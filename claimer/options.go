package claimer

import "time"

const (
	// DefaultRetention is how long an ended claim is retained.
	DefaultRetention = 6 * time.Hour
	// DefaultMaxBytes bounds the size of a claim table.
	DefaultMaxBytes = 48 << 20
	// DefaultCallTimeout bounds one call to another instance of the group.
	DefaultCallTimeout = 400 * time.Millisecond
)

type options struct {
	retention   time.Duration
	maxBytes    int64
	callTimeout time.Duration
	dir         string
}

// Option configures a Claimer.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{retention: DefaultRetention, maxBytes: DefaultMaxBytes, callTimeout: DefaultCallTimeout}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// Retention sets how long an ended claim, its response included, is retained.
func Retention(retention time.Duration) Option {
	return func(o *options) { o.retention = retention }
}

// MaxBytes bounds the size of the claim table.
func MaxBytes(limit int64) Option {
	return func(o *options) { o.maxBytes = limit }
}

// Dir persists the claims in a folder, so that a restarted instance has all the
// claims that it granted without recovering them from its peers.
func Dir(dir string) Option {
	return func(o *options) { o.dir = dir }
}
