// Package kernel assembles a process from plug-ins. A plug-in registers itself
// under a name, usually in an init function, and the settings of the process name
// the plug-ins to run.
package kernel

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// Plugin is a component that a process can run.
type Plugin struct {
	// Name is the name by which settings enable the plug-in.
	Name string
	// Summary describes the plug-in in one line.
	Summary string
	// Option holds the constructors and functions that make up the plug-in.
	Option fx.Option
}

var registry = struct {
	mu      sync.RWMutex
	plugins map[string]Plugin
}{plugins: map[string]Plugin{}}

// Register adds a plug-in under its name. It panics if the name is empty or
// already registered, since either is a fault in the program.
func Register(plugin Plugin) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if plugin.Name == "" {
		panic("kernel: plug-in without a name")
	}
	if _, taken := registry.plugins[plugin.Name]; taken {
		panic("kernel: plug-in " + plugin.Name + " registered twice")
	}
	registry.plugins[plugin.Name] = plugin
}

// Names returns the sorted names of all registered plug-ins.
func Names() []string {
	registry.mu.RLock()
	defer registry.mu.RUnlock()
	names := make([]string, 0, len(registry.plugins))
	for name := range registry.plugins {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Kernel runs the enabled plug-ins of one process.
type Kernel struct {
	app     *fx.App
	options options
}

// New assembles the named plug-ins. It fails if a name is not registered or a
// dependency is not provided.
func New(names []string, opts ...Option) (*Kernel, error) {
	options := newOptions(opts...)
	fxOptions := []fx.Option{
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	}
	fxOptions = append(fxOptions, options.extra...)
	for _, name := range names {
		plugin, err := lookup(name)
		if err != nil {
			return nil, err
		}
		fxOptions = append(fxOptions, fx.Module(plugin.Name, plugin.Option))
	}
	app := fx.New(fxOptions...)
	if err := app.Err(); err != nil {
		return nil, fmt.Errorf("assemble plug-ins: %w", err)
	}
	return &Kernel{app: app, options: options}, nil
}

func lookup(name string) (Plugin, error) {
	registry.mu.RLock()
	defer registry.mu.RUnlock()
	plugin, known := registry.plugins[name]
	if !known {
		return Plugin{}, eris.Errorf("no plug-in named %q", name)
	}
	return plugin, nil
}

// Start starts all plug-ins in the order of their dependencies. It fails once ctx
// ends or DefaultStartTimeout has passed.
func (k *Kernel) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.options.startTimeout)
	defer cancel()
	if err := k.app.Start(ctx); err != nil {
		return fmt.Errorf("start plug-ins: %w", err)
	}
	return nil
}

// Stop stops all plug-ins in the reverse order. It fails once ctx ends or the stop
// timeout has passed.
func (k *Kernel) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.options.stopTimeout)
	defer cancel()
	if err := k.app.Stop(ctx); err != nil {
		return fmt.Errorf("stop plug-ins: %w", err)
	}
	return nil
}
