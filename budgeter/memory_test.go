package budgeter

import "testing"

// A body must not count as arrived while bytes of it may be missing, nor may the head behind
// it go uncounted.
func TestMeasureBoundsWhatFollowsHead(t *testing.T) {
	for _, test := range []struct {
		data string
		want chunk
	}{
		{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", chunk{size: 27, lines: 3}},
		{"a\r\n\r\nbody", chunk{size: 9, lines: 2, tail: 4, rest: 4}},
		{"a\n\nbody", chunk{size: 7, lines: 2, tail: 4, rest: 4}},
		{"\r\nbody", chunk{size: 6, lines: 1, tail: 6}},
		{"\r\n\r\na\r\n\r\nbody", chunk{size: 13, lines: 4, tail: 9}},
		{"a\r\n\r\n\r\nbody", chunk{size: 11, lines: 3, tail: 6}},
		{"a\r\n\r\nb\n\nc", chunk{size: 9, lines: 4, tail: 4}},
		{"a\n\nb\r\n\r\nc", chunk{size: 9, lines: 4, tail: 6}},
	} {
		if got := measure([]byte(test.data)); got != test.want {
			t.Errorf("%q: %+v, want %+v", test.data, got, test.want)
		}
	}
}
