package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/hibiscuscart/hibiscuscart/stand"
)

// kind is what a caller asks for.
type kind struct {
	name, method, path string
	once, stream       bool
	models             []string
}

// outcome is what a caller saw of one request.
type outcome struct {
	id     string
	kind   kind
	status int
	body   string
	stamp  string
	// broken says that the connection ended before the answer was whole.
	broken bool
}

// Broken are the broken promises that were found, as text.
type broken struct {
	mu   sync.Mutex
	list []string
}

func (b *broken) add(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = append(b.list, fmt.Sprintf(format, args...))
}

func (b *broken) all() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list
}

// answer checks what can be told from the answer alone.
func (b *broken) answer(o outcome) {
	if o.status != http.StatusOK || o.broken {
		return
	}
	if o.stamp == "" {
		b.add("%s %s: a success without proof of its server", o.kind.name, o.id)
	}
	want := "answer to " + o.id
	if o.kind.stream {
		want = wholeStream(o.id)
	}
	if o.body != want {
		b.add("%s %s: a success with another body: %.80q", o.kind.name, o.id, o.body)
	}
}

// runs checks an answer against what the servers ran, once nothing runs any
// more: a request that ran twice, and one that ran although its caller was told
// that it had not.
func (b *broken) runs(outcomes []outcome, ledger *stand.Ledger) {
	for _, o := range outcomes {
		ran := len(ledger.Of(o.id))
		if o.kind.once && ran > 1 {
			b.add("%s %s: ran %d times", o.kind.name, o.id, ran)
		}
		if o.kind.once && o.status == http.StatusServiceUnavailable && ran > 0 {
			b.add("%s %s: told that it had not run, and it ran", o.kind.name, o.id)
		}
		if o.status == http.StatusOK && ran == 0 {
			b.add("%s %s: a success that no server ran", o.kind.name, o.id)
		}
	}
}

// streamEvents is how many events the stand-ins' streams have.
const streamEvents = 8

func wholeStream(id string) string {
	var s strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&s, "id: %d\ndata: %s %d\n\n", n, id, n)
	}
	return s.String()
}
