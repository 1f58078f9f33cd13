// Package authenticator tells who presents a bearer token and what kind of
// party that is.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

// Kind is the kind of party that a token stands for.
type Kind string

// The kinds of party.
const (
	KindCaller   Kind = "caller"
	KindUpstream Kind = "upstream"
	KindWorker   Kind = "worker"
	KindOperator Kind = "operator"
	KindPeer     Kind = "peer"
)

// ErrUnknownToken reports a request with no token or one that nobody holds.
var ErrUnknownToken = eris.New("token missing or unknown")

// ErrWrongKind reports a token whose holder may not use the called interface.
var ErrWrongKind = eris.New("token is of the wrong kind")

// Identity is the party that a token stands for.
type Identity struct {
	Kind Kind
	// Subject is the name that settings give the holder. Ids that the holder
	// announces live below it, so no two holders can announce the same id.
	Subject string
	// Member is the member that the holder belongs to. It is set for callers
	// and may be empty for all others.
	Member identifier.MemberID
}

// Credential couples a token with its holder.
type Credential struct {
	Token    string
	Identity Identity
}

type holder struct {
	digest   [sha256.Size]byte
	identity Identity
}

// Authenticator finds identities by token. It is read-only after New.
type Authenticator struct {
	holders []holder
}

// New returns an authenticator for the given credentials.
func New(credentials []Credential) *Authenticator {
	a := &Authenticator{}
	for _, credential := range credentials {
		digest := sha256.Sum256([]byte(credential.Token))
		a.holders = append(a.holders, holder{digest: digest, identity: credential.Identity})
	}
	return a
}

// Identify returns the holder of a token. It compares with every holder in
// constant time, so that timing tells nothing about any token.
func (a *Authenticator) Identify(token string) (Identity, error) {
	digest := sha256.Sum256([]byte(token))
	found := -1
	for i := range a.holders {
		if subtle.ConstantTimeCompare(digest[:], a.holders[i].digest[:]) == 1 {
			found = i
		}
	}
	if token == "" || found < 0 {
		return Identity{}, ErrUnknownToken
	}
	return a.holders[found].identity, nil
}

// Check returns the holder of the request's bearer token if it is of one of
// the given kinds, else ErrUnknownToken or ErrWrongKind.
func (a *Authenticator) Check(request *http.Request, kinds ...Kind) (Identity, error) {
	token, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	identity, err := a.Identify(token)
	if err != nil {
		return Identity{}, err
	}
	for _, kind := range kinds {
		if identity.Kind == kind {
			return identity, nil
		}
	}
	return Identity{}, ErrWrongKind
}
