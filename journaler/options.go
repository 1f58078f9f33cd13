package journaler

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
)

// Files are the file operations whose failure a journal has to survive. Tests
// replace single functions to bring a failure about.
type Files struct {
	Write   func(file *os.File, data []byte) (int, error)
	Sync    func(file *os.File) error
	SyncDir func(dir string) error
	// Replace writes a whole file so that a crash leaves the old or the new.
	Replace func(path string, data []byte) error
}

// Option changes how a journal is opened.
type Option func(*Files)

// DefaultFiles returns the operations of the operating system.
func DefaultFiles() Files {
	return Files{
		Write:   (*os.File).Write,
		Sync:    (*os.File).Sync,
		SyncDir: syncDir,
		Replace: replaceFile,
	}
}

// WithFiles replaces the file operations.
func WithFiles(files Files) Option {
	return func(f *Files) { *f = files }
}

func newFiles(opts ...Option) Files {
	files := DefaultFiles()
	for _, apply := range opts {
		apply(&files)
	}
	return files
}

func replaceFile(path string, data []byte) error {
	if err := renameio.WriteFile(path, data, 0o644); err != nil {
		return fmt.Errorf("write file: %w", err)
	}
	return syncDir(filepath.Dir(path))
}

func syncDir(dir string) error {
	handle, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	defer handle.Close()
	if err := handle.Sync(); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}
