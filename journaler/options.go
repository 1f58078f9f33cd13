package journaler

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
)

// FileOperations are the file operations whose failure a journal has to survive. Tests
// replace single functions to bring a failure about.
type FileOperations struct {
	Write   func(file *os.File, data []byte) (int, error)
	Sync    func(file *os.File) error
	SyncDir func(dir string) error
	// Replace writes a whole file so that a crash leaves the old or the new.
	Replace func(path string, data []byte) error
}

// Option changes how a journal is opened.
type Option func(*FileOperations)

// DefaultFileOperations returns the operations of the operating system.
func DefaultFileOperations() FileOperations {
	return FileOperations{
		Write:   (*os.File).Write,
		Sync:    (*os.File).Sync,
		SyncDir: syncDir,
		Replace: replaceFile,
	}
}

// WithFileOperations replaces the file operations.
func WithFileOperations(files FileOperations) Option {
	return func(f *FileOperations) { *f = files }
}

func newFiles(opts ...Option) FileOperations {
	files := DefaultFileOperations()
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
