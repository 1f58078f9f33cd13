package claimer

import "time"

const (
	// DefaultRetention is how long an answer is kept.
	DefaultRetention = 6 * time.Hour
	// DefaultMaxBytes bounds a table.
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

// Option changes how a claimer behaves.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{retention: DefaultRetention, maxBytes: DefaultMaxBytes, callTimeout: DefaultCallTimeout}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// Retention sets how long an answer is kept.
func Retention(retention time.Duration) Option {
	return func(o *options) { o.retention = retention }
}

// MaxBytes bounds a table.
func MaxBytes(limit int64) Option {
	return func(o *options) { o.maxBytes = limit }
}

// Dir keeps the claims in a folder, so that a restarted instance knows at once
// all that it granted.
func Dir(dir string) Option {
	return func(o *options) { o.dir = dir }
}
