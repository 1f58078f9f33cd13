package forwarder_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/responder"
)

var (
	errNotSent    = errors.New("not sent")
	errNoResponse = errors.New("no response")
)

// peers holds the responses of other instances by address.
type peers map[string]func(ctx context.Context, call forwarder.Call) (forwarder.Answer, error)

func (p peers) post(ctx context.Context, address, _ string, in, out any) error {
	peer, known := p[address]
	if !known {
		return errNotSent
	}
	answer, err := peer(ctx, in.(forwarder.Call))
	*out.(*forwarder.Answer) = answer
	return err
}

func notLeader(hint string) func(context.Context, forwarder.Call) (forwarder.Answer, error) {
	return func(context.Context, forwarder.Call) (forwarder.Answer, error) {
		return forwarder.Answer{Code: forwarder.CodeNotLeader, Leader: hint}, nil
	}
}

func done(context.Context, forwarder.Call) (forwarder.Answer, error) {
	return forwarder.Answer{Code: forwarder.CodeOK}, nil
}

func unresponsive(ctx context.Context, _ forwarder.Call) (forwarder.Answer, error) {
	<-ctx.Done()
	return forwarder.Answer{}, errNoResponse
}

// writes records what is written at a time.
type writes struct {
	httptest.ResponseRecorder
	parts [][]byte
}

// Write records a part.
func (w *writes) Write(data []byte) (int, error) {
	w.parts = append(w.parts, data)
	return w.ResponseRecorder.Write(data)
}

// Guards against copies of large documents, one for each caller, that use up the memory.
func TestRespondCopiesNoDocument(t *testing.T) {
	document := json.RawMessage(`{"a": "` + strings.Repeat("x", 1<<20) + `"}`)
	for _, answer := range []forwarder.Answer{
		{Code: forwarder.CodeOK},
		{Code: forwarder.CodeOK, Document: json.RawMessage(`[1,2]`)},
		{Code: forwarder.CodeOK, Document: document, Leader: "a"},
		{Code: forwarder.CodeNotLeader, Reason: "r", RetryAfterMillis: 3, Leader: "a"},
	} {
		w := &writes{ResponseRecorder: *httptest.NewRecorder()}
		if err := answer.Respond(w); err != nil {
			t.Fatal(err)
		}
		var got forwarder.Answer
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(answer, got); diff != "" {
			t.Errorf("the answer changed: %s", diff)
		}
		if length := w.Header().Get("Content-Length"); length != strconv.Itoa(w.Body.Len()) {
			t.Errorf("Content-Length %s for %d bytes", length, w.Body.Len())
		}
		for _, part := range w.parts {
			if len(part) >= len(document) && &part[0] != &document[0] {
				t.Error("the document was copied")
			}
		}
	}
}

func TestDo(t *testing.T) {
	submit := forwarder.Call{Kind: forwarder.KindSubmit}
	state := forwarder.Call{Kind: forwarder.KindState}
	tests := []struct {
		name  string
		peers peers
		call  forwarder.Call
		want  responder.Code
		// within is the longest time until the answer.
		within time.Duration
	}{
		{"the leader answers", peers{"a": done}, submit, forwarder.CodeOK, 0},
		{"a follower names the leader", peers{"a": notLeader("b"), "b": done}, submit, forwarder.CodeOK, 50 * time.Millisecond},
		{"no instance is reachable", peers{}, submit, responder.CodeUnavailable, 100 * time.Millisecond},
		{"no instance leads", peers{"a": notLeader(""), "b": notLeader("")}, submit, responder.CodeUnavailable, 100 * time.Millisecond},
		{"the leader is unresponsive, another is found", peers{"a": unresponsive, "b": done}, submit, forwarder.CodeOK, 700 * time.Millisecond},
		{"a change has no response", peers{"a": unresponsive, "b": unresponsive}, submit, responder.CodeOutcomeUnknown, 2 * time.Second},
		{"a read has no response", peers{"a": unresponsive, "b": unresponsive}, state, responder.CodeUnavailable, 700 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := forwarder.New(forwarder.Config{Post: test.peers.post, NotSent: errNotSent}, []string{"b", "a"})
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				start := time.Now()
				answer := f.Do(ctx, test.call)
				took := time.Since(start)
				if answer.Code != test.want || took > test.within {
					t.Errorf("%s after %v, want %s within %v", answer.Code, took, test.want, test.within)
				}
				if !answer.OK() && answer.RetryAfterMillis <= 0 {
					t.Error("the answer has no retry time")
				}
			})
		})
	}
}

// While TrackLeader searches for a leader, calls must be refused without waiting
// for unresponsive instances.
func TestCallIsRefusedWithoutDelayWhileSearching(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := true
		p := peers{"a": func(ctx context.Context, call forwarder.Call) (forwarder.Answer, error) {
			if up {
				return done(ctx, call)
			}
			return unresponsive(ctx, call)
		}}
		f := forwarder.New(forwarder.Config{Post: p.post, NotSent: errNotSent}, []string{"a"})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		call := forwarder.Call{Kind: forwarder.KindState}
		f.Do(ctx, call)
		up = false
		f.Do(ctx, call)
		start := time.Now()
		answer := f.Do(ctx, call)
		if took := time.Since(start); answer.Code != responder.CodeUnavailable || took > 100*time.Millisecond {
			t.Errorf("%s after %v", answer.Code, took)
		}
	})
}
