package journaler

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
)

// FileOperations are the file operations of a journal that can fail. Tests replace
// single functions to inject failures.
type FileOperations struct {
	Write func(file *os.File, data []byte) (int, error)
	Sync  func(file *os.File) error
	// SyncDir syncs a directory, so that files created in it survive a crash.
	SyncDir func(dir string) error
	// Replace replaces a file atomically: after a crash it has either the old or
	// the new content.
	Replace func(path string, data []byte) error
}

// Option configures a journal.
type Option func(*FileOperations)

// DefaultFileOperations returns the file operations of the operating system.
func DefaultFileOperations() FileOperations {
	return FileOperations{
		Write:   (*os.File).Write,
		Sync:    (*os.File).Sync,
		SyncDir: syncDir,
		Replace: replaceFile,
	}
}

// WithFileOperations sets the file operations.
func WithFileOperations(files FileOperations) Option {
	return func(f *FileOperations) { *f = files }
}

func newFileOperations(opts ...Option) FileOperations {
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
