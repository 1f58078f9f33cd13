// Package journaler persists records in an append-only file, the journal, with a
// snapshot in a second file. A record is persisted only once the journal has been
// synced.
//
// A record consists of 4 magic bytes, a 4-byte payload length, a 4-byte CRC-32C of
// length and payload, and the payload. All numbers are little-endian.
package journaler

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	logName      = "journal.log"
	snapshotName = "journal.snapshot"
	headerBytes  = 12
	// MaxRecordBytes is the maximum size of a record's payload.
	MaxRecordBytes = 64 << 20
)

// recordMagic starts every record; findRecord searches for it after damage.
var recordMagic = [4]byte{0xC5, 'j', 'r', '1'}

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt reports a damaged snapshot, or a damaged record that is followed by a
// valid one. Such a journal is not opened, since acknowledged records would be lost.
var ErrCorrupt = eris.New("journal is corrupt before its end")

// ErrFailed reports a write to a journal that is closed or had a failed write or
// sync. After a failure the content of the file is unknown, so the journal refuses
// all writes until it is reopened.
var ErrFailed = eris.New("journal failed earlier")

// Contents is the content of a journal when it was opened.
type Contents struct {
	// Snapshot is the last complete snapshot, or nil.
	Snapshot []byte
	// Records are the payloads appended since that snapshot, in order.
	Records [][]byte
	// TornBytes is the number of bytes of an incomplete last record that were
	// truncated.
	TornBytes int64
}

// Journal is an open journal. Only one process at a time may open a directory. A
// Journal is safe for concurrent use.
type Journal struct {
	files FileOperations
	dir   string

	mu   sync.Mutex
	file *os.File
	// syncedSize is the size in bytes of the synced part of the file.
	syncedSize int64
	// failed is set by the first failed write or sync, by a compaction that fails
	// after it replaced the snapshot, and by Close. It is never cleared.
	failed bool
}

// Open opens or creates the journal in dir and returns its contents. An incomplete
// last record is truncated. The error wraps ErrCorrupt if the snapshot or a record
// before the last is damaged.
func Open(dir string, opts ...Option) (*Journal, Contents, error) {
	j := &Journal{files: newFileOperations(opts...), dir: dir}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, Contents{}, fmt.Errorf("create journal directory: %w", err)
	}
	contents, err := j.load()
	if err != nil {
		return nil, Contents{}, err
	}
	return j, contents, nil
}

func (j *Journal) load() (Contents, error) {
	var contents Contents
	snapshot, err := j.loadSnapshot()
	if err != nil {
		return contents, err
	}
	contents.Snapshot = snapshot
	file, err := os.OpenFile(filepath.Join(j.dir, logName), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return contents, fmt.Errorf("open journal: %w", err)
	}
	data, err := io.ReadAll(file)
	if err != nil {
		return contents, fmt.Errorf("read journal: %w", err)
	}
	records, validBytes, err := parseRecords(data)
	if err != nil {
		_ = file.Close()
		return contents, fmt.Errorf("read %s: %w", file.Name(), err)
	}
	contents.Records = records
	contents.TornBytes = int64(len(data)) - validBytes
	j.file = file
	j.syncedSize = validBytes
	if contents.TornBytes > 0 {
		if err := j.truncate(validBytes); err != nil {
			return contents, err
		}
	}
	if _, err := file.Seek(validBytes, io.SeekStart); err != nil {
		return contents, fmt.Errorf("seek journal: %w", err)
	}
	return contents, j.files.SyncDir(j.dir)
}

func (j *Journal) loadSnapshot() ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(j.dir, snapshotName))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	payload, complete := parseSnapshot(data)
	if !complete {
		return nil, fmt.Errorf("snapshot %s: %w", filepath.Join(j.dir, snapshotName), ErrCorrupt)
	}
	return payload, nil
}

// encodeSnapshot writes a snapshot as one or more records. All but the last have
// MaxRecordBytes, and the last has fewer, so that a missing one is noticed.
func encodeSnapshot(buffer *bytes.Buffer, snapshot []byte) {
	for len(snapshot) >= MaxRecordBytes {
		encodeRecord(buffer, snapshot[:MaxRecordBytes])
		snapshot = snapshot[MaxRecordBytes:]
	}
	encodeRecord(buffer, snapshot)
}

// parseSnapshot returns the snapshot that encodeSnapshot wrote, and whether data
// holds all of it and nothing else.
func parseSnapshot(data []byte) ([]byte, bool) {
	var snapshot []byte
	offset := int64(0)
	for {
		payload, next := parseRecord(data, offset)
		switch {
		case next < 0:
			return nil, false
		case len(payload) < MaxRecordBytes && snapshot == nil:
			return payload, next == int64(len(data))
		case len(payload) < MaxRecordBytes:
			return append(snapshot, payload...), next == int64(len(data))
		}
		snapshot = append(snapshot, payload...)
		offset = next
	}
}

// Append writes records and syncs the file. If it returns an error, none of the
// records may be acknowledged. After a failed write or sync the journal refuses all
// further writes.
func (j *Journal) Append(records ...[]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed {
		return ErrFailed
	}
	var buffer bytes.Buffer
	for _, record := range records {
		if err := checkRecord(record); err != nil {
			return err
		}
		encodeRecord(&buffer, record)
	}
	if _, err := j.files.Write(j.file, buffer.Bytes()); err != nil {
		j.failed = true
		return fmt.Errorf("write journal: %w", err)
	}
	if err := j.files.Sync(j.file); err != nil {
		j.failed = true
		return fmt.Errorf("sync journal: %w", err)
	}
	j.syncedSize += int64(buffer.Len())
	return nil
}

// Compact replaces the snapshot and all records by a new snapshot followed by
// records. A crash leaves the old contents, the new contents, or the new snapshot
// with the old records. Therefore replaying a record that the snapshot covers must
// have no effect. If Compact fails after it replaced the snapshot, the journal
// refuses all further writes. A snapshot may have any size. A record over
// MaxRecordBytes is an error that leaves the old contents.
func (j *Journal) Compact(snapshot []byte, records ...[]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed {
		return ErrFailed
	}
	for _, record := range records {
		if err := checkRecord(record); err != nil {
			return err
		}
	}
	var buffer bytes.Buffer
	encodeSnapshot(&buffer, snapshot)
	if err := j.files.Replace(filepath.Join(j.dir, snapshotName), buffer.Bytes()); err != nil {
		return fmt.Errorf("replace snapshot: %w", err)
	}
	buffer.Reset()
	for _, record := range records {
		encodeRecord(&buffer, record)
	}
	path := filepath.Join(j.dir, logName)
	if err := j.files.Replace(path, buffer.Bytes()); err != nil {
		j.failed = true
		return fmt.Errorf("replace journal: %w", err)
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0o644)
	if err != nil {
		j.failed = true
		return fmt.Errorf("reopen journal: %w", err)
	}
	_ = j.file.Close()
	j.file = file
	j.syncedSize = int64(buffer.Len())
	if _, err := file.Seek(j.syncedSize, io.SeekStart); err != nil {
		j.failed = true
		return fmt.Errorf("seek journal: %w", err)
	}
	return nil
}

// Failed reports whether the journal refuses all further writes.
func (j *Journal) Failed() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failed
}

// Size returns the size in bytes of the records after the snapshot.
func (j *Journal) Size() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.syncedSize
}

// Close closes the file. Acknowledged records need no flush, since they are synced.
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failed = true
	if err := j.file.Close(); err != nil {
		return fmt.Errorf("close journal: %w", err)
	}
	return nil
}

func (j *Journal) truncate(size int64) error {
	if err := j.file.Truncate(size); err != nil {
		return fmt.Errorf("truncate torn record: %w", err)
	}
	if err := j.files.Sync(j.file); err != nil {
		return fmt.Errorf("sync after truncation: %w", err)
	}
	return nil
}

func checkRecord(payload []byte) error {
	if len(payload) > MaxRecordBytes {
		return eris.Errorf("record of %d bytes is over %d", len(payload), MaxRecordBytes)
	}
	return nil
}

func encodeRecord(buffer *bytes.Buffer, payload []byte) {
	var header [headerBytes]byte
	copy(header[:4], recordMagic[:])
	binary.LittleEndian.PutUint32(header[4:8], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[8:12], checksum(header[4:8], payload))
	buffer.Write(header[:])
	buffer.Write(payload)
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoliTable), castagnoliTable, payload)
}

// parseRecords returns the records at the start of data and their size in bytes. The
// bytes after them are a torn record, unless they contain a valid record: then the
// error wraps ErrCorrupt.
func parseRecords(data []byte) ([][]byte, int64, error) {
	var records [][]byte
	offset := int64(0)
	for offset < int64(len(data)) {
		payload, next := parseRecord(data, offset)
		if next < 0 {
			break
		}
		records = append(records, payload)
		offset = next
	}
	if later := findRecord(data, offset+1); later >= 0 {
		return nil, offset, fmt.Errorf("record at byte %d is damaged, but a valid record follows at byte %d: %w", offset, later, ErrCorrupt)
	}
	return records, offset, nil
}

// parseRecord returns the payload of the record at offset and the offset after the
// record, or -1 if no valid record starts there.
func parseRecord(data []byte, offset int64) ([]byte, int64) {
	rest := data[offset:]
	if len(rest) < headerBytes || !bytes.Equal(rest[:4], recordMagic[:]) {
		return nil, -1
	}
	length := int64(binary.LittleEndian.Uint32(rest[4:8]))
	if length > MaxRecordBytes || int64(len(rest)) < headerBytes+length {
		return nil, -1
	}
	payload := rest[headerBytes : headerBytes+length]
	if checksum(rest[4:8], payload) != binary.LittleEndian.Uint32(rest[8:12]) {
		return nil, -1
	}
	return payload, offset + headerBytes + length
}

// findRecord returns the offset of the first valid record at or after start, or -1.
func findRecord(data []byte, start int64) int64 {
	for start < int64(len(data)) {
		skip := bytes.Index(data[start:], recordMagic[:])
		if skip < 0 {
			return -1
		}
		start += int64(skip)
		if _, next := parseRecord(data, start); next >= 0 {
			return start
		}
		start++
	}
	return -1
}
