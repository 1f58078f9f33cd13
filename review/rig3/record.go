package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file that holds what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{file: file, began: time.Now()}, nil
}

// note writes a line with the time since the start.
func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line and prints it.
func (r *record) say(format string, values ...any) {
	r.note(format, values...)
	fmt.Printf(format+"\n", values...)
}
