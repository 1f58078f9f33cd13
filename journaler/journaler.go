// Package journaler keeps records in an append-only file with a snapshot
// beside it. A record counts as kept only once the file has been synced.
//
// A record is laid out as a 4-byte mark, a 4-byte length, a 4-byte CRC-32C of
// length and payload, and the payload; all numbers are little-endian.
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
	// MaxRecordBytes bounds one record's payload.
	MaxRecordBytes = 64 << 20
)

var mark = [4]byte{0xC5, 'j', 'r', '1'}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt reports a damaged record that has a valid one behind it. Such a
// journal is not opened, since acknowledged records would be lost.
var ErrCorrupt = eris.New("journal is corrupt before its end")

// ErrFailed reports that an earlier write or sync failed. What the file holds
// is then unknown, so the journal takes nothing more until it is reopened.
var ErrFailed = eris.New("journal failed earlier")

// Contents is what a journal held when it was opened.
type Contents struct {
	// Snapshot is the last complete snapshot, nil if there is none.
	Snapshot []byte
	// Records are the payloads appended since that snapshot, in order.
	Records [][]byte
	// TornBytes counts the bytes of an unfinished last record that were cut.
	TornBytes int64
}

// Journal is an open journal. One process at a time may open a folder.
type Journal struct {
	files FileOperations
	dir   string

	mu   sync.Mutex
	file *os.File
	// size is the length in bytes of the synced part of the file.
	size int64
	// failed is set by the first failed write or sync and never cleared.
	failed bool
}

// Open opens or creates the journal in a folder and returns what it held. It
// returns an error that wraps ErrCorrupt if a record before the end is damaged.
func Open(dir string, opts ...Option) (*Journal, Contents, error) {
	j := &Journal{files: newFiles(opts...), dir: dir}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, Contents{}, fmt.Errorf("create journal folder: %w", err)
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
	records, good, err := parse(data)
	if err != nil {
		_ = file.Close()
		return contents, fmt.Errorf("read %s: %w", file.Name(), err)
	}
	contents.Records = records
	contents.TornBytes = int64(len(data)) - good
	j.file = file
	j.size = good
	if contents.TornBytes > 0 {
		if err := j.truncate(good); err != nil {
			return contents, err
		}
	}
	if _, err := file.Seek(good, io.SeekStart); err != nil {
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
	payload, next := parseOne(data, 0)
	if next != int64(len(data)) {
		return nil, fmt.Errorf("snapshot %s: %w", filepath.Join(j.dir, snapshotName), ErrCorrupt)
	}
	return payload, nil
}

// Append adds records and syncs the file. When it returns an error, none of
// the records may be acknowledged, and the journal takes nothing more.
func (j *Journal) Append(records ...[]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed {
		return ErrFailed
	}
	var buffer bytes.Buffer
	for _, record := range records {
		if len(record) > MaxRecordBytes {
			return eris.Errorf("record of %d bytes is over %d", len(record), MaxRecordBytes)
		}
		encode(&buffer, record)
	}
	if _, err := j.files.Write(j.file, buffer.Bytes()); err != nil {
		j.failed = true
		return fmt.Errorf("write journal: %w", err)
	}
	if err := j.files.Sync(j.file); err != nil {
		j.failed = true
		return fmt.Errorf("sync journal: %w", err)
	}
	j.size += int64(buffer.Len())
	return nil
}

// Compact replaces the snapshot and all records by a new snapshot followed by
// the given records. A crash leaves either the old contents or the new ones,
// or the new snapshot with the old records: replaying a record that the
// snapshot already covers must have no effect.
func (j *Journal) Compact(snapshot []byte, records ...[]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed {
		return ErrFailed
	}
	var buffer bytes.Buffer
	encode(&buffer, snapshot)
	if err := j.files.Replace(filepath.Join(j.dir, snapshotName), buffer.Bytes()); err != nil {
		return fmt.Errorf("replace snapshot: %w", err)
	}
	buffer.Reset()
	for _, record := range records {
		encode(&buffer, record)
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
	j.size = int64(buffer.Len())
	if _, err := file.Seek(j.size, io.SeekStart); err != nil {
		j.failed = true
		return fmt.Errorf("seek journal: %w", err)
	}
	return nil
}

// Size returns the length in bytes of the records behind the snapshot.
func (j *Journal) Size() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.size
}

// Close closes the file. All acknowledged records are already synced.
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
		return fmt.Errorf("cut torn record: %w", err)
	}
	if err := j.files.Sync(j.file); err != nil {
		return fmt.Errorf("sync after cut: %w", err)
	}
	return nil
}

func encode(buffer *bytes.Buffer, payload []byte) {
	var header [headerBytes]byte
	copy(header[:4], mark[:])
	binary.LittleEndian.PutUint32(header[4:8], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[8:12], checksum(header[4:8], payload))
	buffer.Write(header[:])
	buffer.Write(payload)
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// parse returns the records of data and the length of the valid part. Bytes
// behind it are a torn tail, unless a valid record stands among them.
func parse(data []byte) ([][]byte, int64, error) {
	var records [][]byte
	offset := int64(0)
	for offset < int64(len(data)) {
		payload, next := parseOne(data, offset)
		if next < 0 {
			break
		}
		records = append(records, payload)
		offset = next
	}
	if later := findRecord(data, offset+1); later >= 0 {
		return nil, offset, fmt.Errorf("record at byte %d is damaged, byte %d starts a valid one: %w", offset, later, ErrCorrupt)
	}
	return records, offset, nil
}

// parseOne returns the record at an offset and the offset behind it, or -1 if
// no valid record starts there.
func parseOne(data []byte, offset int64) ([]byte, int64) {
	rest := data[offset:]
	if len(rest) < headerBytes || !bytes.Equal(rest[:4], mark[:]) {
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

func findRecord(data []byte, from int64) int64 {
	for from < int64(len(data)) {
		skip := bytes.Index(data[from:], mark[:])
		if skip < 0 {
			return -1
		}
		from += int64(skip)
		if _, next := parseOne(data, from); next >= 0 {
			return from
		}
		from++
	}
	return -1
}
