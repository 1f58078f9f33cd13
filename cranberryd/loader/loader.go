// Package loader reads and validates the settings of a process. Settings are one
// JSON file; an error is one line that names the file, the key and the rule that
// the key breaks.
package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/authenticator"
	"cranberrystack.dev/cranberrystack/identifier"
)

// ErrInvalid reports settings that can't be read or break a rule.
var ErrInvalid = eris.New("settings are invalid")

// Duration is a time span in the syntax of time.ParseDuration, such as "1.5s".
type Duration string

// NewDuration converts a time.Duration.
func NewDuration(duration time.Duration) Duration { return Duration(duration.String()) }

// Std converts d to a time.Duration. It returns 0 for text that is no duration,
// which validated settings don't contain.
func (d Duration) Std() time.Duration {
	duration, err := time.ParseDuration(string(d))
	if err != nil {
		return 0
	}
	return duration
}

// Peer describes an instance: another one or this one.
type Peer struct {
	Instance   identifier.InstanceID   `json:"instance" validate:"required"`
	Address    string                  `json:"address" validate:"required,hostname_port"`
	DataCenter identifier.DataCenterID `json:"data-center" validate:"required"`
	Region     identifier.RegionID     `json:"region" validate:"required"`
	Roles      []string                `json:"roles" validate:"min=1,dive,oneof=entry control placement"`
}

// Has reports whether the peer has a role.
func (p *Peer) Has(role string) bool {
	for _, own := range p.Roles {
		if own == role {
			return true
		}
	}
	return false
}

// Token maps a bearer token to the identity of the client that presents it.
type Token struct {
	Token   string              `json:"token" validate:"required,min=16"`
	Kind    authenticator.Kind  `json:"kind" validate:"oneof=caller upstream worker operator peer"`
	Subject string              `json:"subject" validate:"required"`
	Member  identifier.MemberID `json:"member,omitempty" validate:"required_if=Kind caller"`
}

// Requests configures the entry role.
type Requests struct {
	MaxBodyBytes     int64    `json:"max-body-bytes" validate:"min=1,max=67108864"`
	MaxResponseBytes int64    `json:"max-answer-bytes" validate:"min=1,max=67108864"`
	MaxDeadline      Duration `json:"max-deadline" validate:"time"`
	// QueueLength bounds the waiting requests of one plan.
	QueueLength int `json:"queue-length" validate:"min=1,max=100000"`
	// ResponseRetention is how long the response to a keyed request is retained.
	ResponseRetention Duration `json:"keep-answers" validate:"time"`
	// ClaimBytes bounds the size of the table of claims.
	ClaimBytes int64 `json:"claim-bytes" validate:"min=65536"`
	// UpstreamExpiry is the time since its last announcement after which an
	// upstream is no longer used.
	UpstreamExpiry Duration `json:"upstream-expiry" validate:"time"`
}

// Jobs configures the placement role.
type Jobs struct {
	// Lease is how long a worker may run tasks without contact to the owner of
	// the placement.
	Lease Duration `json:"lease" validate:"time"`
	// LeaseMargin is added to Lease where the owner of the placement estimates
	// until when a worker may still run a task.
	LeaseMargin Duration `json:"lease-margin" validate:"time"`
	// Grace is the time that a preempted task gets for a checkpoint.
	Grace Duration `json:"grace" validate:"time"`
	// ReportTimeout is the time since its last report after which a worker gets
	// no new work.
	ReportTimeout Duration `json:"silence" validate:"time"`
	// ReserveAfter is the wait after which free accelerators are reserved for a
	// gang.
	ReserveAfter Duration `json:"reserve-after" validate:"time"`
}

// Control configures the control role.
type Control struct {
	HeartbeatInterval Duration `json:"heartbeat-interval" validate:"time"`
	// ElectionTimeout is the least time without a leader before an election. It
	// must be longer than HeartbeatInterval.
	ElectionTimeout Duration `json:"election-timeout" validate:"time"`
	// CompactEntries is the number of log entries after which a snapshot is
	// written.
	CompactEntries int `json:"compact-entries" validate:"min=10"`
}

// Membership configures how instances detect that others have failed.
type Membership struct {
	ProbeInterval Duration `json:"probe-interval" validate:"time"`
	// SuspectTimeout is how long an instance stays suspect before it counts as
	// failed.
	SuspectTimeout Duration `json:"suspect-timeout" validate:"time"`
}

// Settings holds the whole configuration of a process with the roles entry, control
// and placement.
type Settings struct {
	Instance   identifier.InstanceID   `json:"instance" validate:"required"`
	Address    string                  `json:"address" validate:"required,hostname_port"`
	DataCenter identifier.DataCenterID `json:"data-center" validate:"required"`
	Region     identifier.RegionID     `json:"region" validate:"required"`
	Roles      []string                `json:"roles" validate:"min=1,unique,dive,oneof=entry control placement"`
	// DataFolder is where state is persisted. The control role requires it.
	DataFolder string `json:"data-folder,omitempty"`
	// DataCenters lists all data centres of the system, the same on every
	// instance.
	DataCenters []identifier.DataCenterID `json:"data-centers" validate:"min=1,unique,dive,required"`
	// Peers lists the instances that are known at the start, the same on every
	// instance. Others are learned from them.
	Peers []Peer `json:"peers" validate:"dive"`
	// InitialVoters names the control instances that form the group of the control
	// log.
	InitialVoters []identifier.InstanceID `json:"initial-voters,omitempty" validate:"max=7,unique"`
	// PeerToken is the bearer token that this process presents to its peers and
	// to workers.
	PeerToken  string     `json:"peer-token" validate:"required,min=16"`
	Tokens     []Token    `json:"tokens" validate:"dive"`
	Requests   Requests   `json:"requests"`
	Jobs       Jobs       `json:"jobs"`
	Control    Control    `json:"control"`
	Membership Membership `json:"membership"`
}

// Has reports whether the process has a role.
func (s *Settings) Has(role string) bool {
	for _, own := range s.Roles {
		if own == role {
			return true
		}
	}
	return false
}

// Self returns the peer entry of this process.
func (s *Settings) Self() Peer {
	return Peer{Instance: s.Instance, Address: s.Address, DataCenter: s.DataCenter, Region: s.Region, Roles: s.Roles}
}

// LoadFile reads and validates a settings file. Errors wrap ErrInvalid.
func LoadFile(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, err, ErrInvalid)
	}
	settings, err := Load(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

// Load decodes JSON settings over the defaults and validates them. Errors wrap
// ErrInvalid.
func Load(data []byte) (*Settings, error) {
	settings := Default()
	if err := decodeStrict(data, settings); err != nil {
		return nil, err
	}
	if err := Check(settings); err != nil {
		return nil, err
	}
	return settings, nil
}

// decodeStrict decodes JSON into settings that hold the defaults. It refuses
// unknown keys and text after the end.
func decodeStrict(data []byte, settings any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		return fmt.Errorf("%s: %w", describeDecodeError(err), ErrInvalid)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("unexpected text after the settings: %w", ErrInvalid)
	}
	return nil
}

// describeDecodeError describes an error of encoding/json without Go types.
func describeDecodeError(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Sprintf("key %q: must be %s, is %s", wrongType.Field, typeName(wrongType.Type), wrongType.Value)
	}
	if name, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		return fmt.Sprintf("key %s: is not known", name)
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

// typeName returns the name of the JSON type that decodes into t.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	}
	return "a number"
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	isPositiveDuration := func(field validator.FieldLevel) bool { return Duration(field.Field().String()).Std() > 0 }
	if err := v.RegisterValidation("time", isPositiveDuration); err != nil {
		panic(err)
	}
	return v
}

// Check returns an error that names the first rule that settings break, or nil.
// Errors wrap ErrInvalid.
func Check(settings *Settings) error {
	if err := checkFields(settings); err != nil {
		return err
	}
	return checkAcrossFields(settings)
}

// checkFields checks the rules that concern a single key, from the validate tags.
func checkFields(settings any) error {
	err := validate.Struct(settings)
	var fieldErrors validator.ValidationErrors
	if errors.As(err, &fieldErrors) {
		return fieldError(fieldErrors[0])
	}
	if err != nil {
		return fmt.Errorf("%w: %w", err, ErrInvalid)
	}
	return nil
}

// fieldError returns an error that names the key and the rule.
func fieldError(violation validator.FieldError) error {
	_, key, _ := strings.Cut(violation.Namespace(), ".")
	rule := violation.Tag()
	if violation.Param() != "" {
		rule += " " + violation.Param()
	}
	return fmt.Errorf("key %q: breaks the rule %q: %w", key, rule, ErrInvalid)
}

// checkAcrossFields checks the rules that concern several keys.
func checkAcrossFields(s *Settings) error {
	known := map[identifier.DataCenterID]bool{}
	for _, dataCenter := range s.DataCenters {
		known[dataCenter] = true
	}
	if !known[s.DataCenter] {
		return fmt.Errorf("key %q: %q is not in \"data-centers\": %w", "data-center", s.DataCenter, ErrInvalid)
	}
	if s.Has("control") && s.DataFolder == "" {
		return fmt.Errorf("key %q: the control role needs one: %w", "data-folder", ErrInvalid)
	}
	if s.Control.ElectionTimeout.Std() <= s.Control.HeartbeatInterval.Std() {
		return fmt.Errorf("key %q: must be longer than \"control.heartbeat-interval\": %w", "control.election-timeout", ErrInvalid)
	}
	return checkPeers(s, known)
}

func checkPeers(s *Settings, known map[identifier.DataCenterID]bool) error {
	seen := map[identifier.InstanceID]bool{}
	for i := range s.Peers {
		peer := &s.Peers[i]
		if seen[peer.Instance] {
			return fmt.Errorf("key %q: %q is listed twice: %w", "peers", peer.Instance, ErrInvalid)
		}
		seen[peer.Instance] = true
		if !known[peer.DataCenter] {
			return fmt.Errorf("key %q: %q of %q is not in \"data-centers\": %w", "peers", peer.DataCenter, peer.Instance, ErrInvalid)
		}
	}
	for _, voter := range s.InitialVoters {
		if voter != s.Instance && !seen[voter] {
			return fmt.Errorf("key %q: %q is not among the peers: %w", "initial-voters", voter, ErrInvalid)
		}
	}
	return checkTokens(s)
}

func checkTokens(s *Settings) error {
	seen := map[string]bool{}
	for _, token := range s.Tokens {
		if seen[token.Token] {
			return fmt.Errorf("key %q: the token of %q is used twice: %w", "tokens", token.Subject, ErrInvalid)
		}
		seen[token.Token] = true
	}
	return nil
}

// CheckAddress returns an error if the process can't listen on address.
func CheckAddress(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("key %q: %w: %w", "address", err, ErrInvalid)
	}
	if err := listener.Close(); err != nil {
		return fmt.Errorf("close the listener on %s: %w", address, err)
	}
	return nil
}

// Default returns the default settings. Keys without a default are empty and
// must be set.
func Default() *Settings {
	return &Settings{
		Requests: Requests{
			MaxBodyBytes: 1 << 20, MaxResponseBytes: 1 << 20,
			MaxDeadline: NewDuration(10 * time.Minute), QueueLength: 1024,
			ResponseRetention: NewDuration(6 * time.Hour), ClaimBytes: 48 << 20,
			UpstreamExpiry: NewDuration(5 * time.Second),
		},
		Jobs: Jobs{
			Lease: NewDuration(time.Minute), LeaseMargin: NewDuration(5 * time.Second),
			Grace: NewDuration(30 * time.Second), ReportTimeout: NewDuration(25 * time.Second),
			ReserveAfter: NewDuration(20 * time.Minute),
		},
		Control: Control{
			HeartbeatInterval: NewDuration(500 * time.Millisecond),
			ElectionTimeout:   NewDuration(2 * time.Second), CompactEntries: 500,
		},
		Membership: Membership{
			ProbeInterval: NewDuration(time.Second), SuspectTimeout: NewDuration(3 * time.Second),
		},
	}
}
