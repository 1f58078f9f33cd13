package forwarder

import "github.com/rotisserie/eris"

// MaxDepth bounds how deep the values in a call's document may be nested. A decoder
// bounds the depth of a whole message, and the document is some levels down in the
// messages and log entries that hold it.
const MaxDepth = 100

// ErrTooDeep reports a document that is nested deeper than MaxDepth.
var ErrTooDeep = eris.New("the document is nested too deeply")

// Check returns ErrTooDeep if the call's document can't be part of every message.
func (c *Call) Check() error {
	if depth(c.Document) > MaxDepth {
		return ErrTooDeep
	}
	return nil
}

// depth returns how deep the values of a JSON document are nested.
func depth(document []byte) int {
	deepest, open := 0, 0
	inString := false
	for i := 0; i < len(document); i++ {
		switch b := document[i]; {
		case inString && b == '\\':
			i++
		case b == '"':
			inString = !inString
		case inString:
		case b == '{' || b == '[':
			open++
			deepest = max(deepest, open)
		case b == '}' || b == ']':
			open--
		}
	}
	return deepest
}
