// Package authenticator identifies the holder of a bearer token and its kind: a
// caller, an upstream, a worker, an operator or a peer.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

// Kind is the kind of client that holds a token.
type Kind string

// The kinds of token holders.
const (
	KindCaller   Kind = "caller"
	KindUpstream Kind = "upstream"
	KindWorker   Kind = "worker"
	KindOperator Kind = "operator"
	KindPeer     Kind = "peer"
)

// ErrUnknownToken reports a request with no token or an unknown one.
var ErrUnknownToken = eris.New("token missing or unknown")

// ErrWrongKind reports a token whose holder may not use the requested interface.
var ErrWrongKind = eris.New("token is of the wrong kind")

// Identity identifies the holder of a token.
type Identity struct {
	Kind Kind
	// Subject is the name of the holder in the settings. IDs that a holder
	// announces belong to its subject, so holders with different subjects can't
	// announce the same ID.
	Subject string
	// Member is the member that the holder belongs to. It is set for callers and
	// may be empty for all other kinds.
	Member identifier.MemberID
}

// Credential is a token and the identity of its holder.
type Credential struct {
	Token    string
	Identity Identity
}

type holder struct {
	digest   [sha256.Size]byte
	identity Identity
}

// Authenticator finds identities by token. It is read-only after New and therefore
// safe for concurrent use.
type Authenticator struct {
	holders []holder
}

// New returns an authenticator for the credentials.
func New(credentials []Credential) *Authenticator {
	a := &Authenticator{}
	for _, credential := range credentials {
		digest := sha256.Sum256([]byte(credential.Token))
		a.holders = append(a.holders, holder{digest: digest, identity: credential.Identity})
	}
	return a
}

// Identify returns the holder of a token, or ErrUnknownToken. It compares the
// token with every known one in constant time, so that timing reveals nothing
// about any token.
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

// Check returns the holder of the request's bearer token if the holder is of one of
// the kinds, else ErrUnknownToken or ErrWrongKind. A header of another scheme than
// Bearer holds no token.
func (a *Authenticator) Check(request *http.Request, kinds ...Kind) (Identity, error) {
	scheme, token, _ := strings.Cut(request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return Identity{}, ErrUnknownToken
	}
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
