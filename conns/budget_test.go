package conns_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

const maxBody = 16 << 20

// pausedBody is a body that comes in parts, each of them when the test lets it. It ends with an error when it is aborted.
type pausedBody struct {
	parts   chan int
	aborted chan struct{}
	once    sync.Once
	rest    int
}

func newPausedBody() *pausedBody {
	return &pausedBody{parts: make(chan int, 16), aborted: make(chan struct{})}
}

var errAborted = errors.New("aborted")

func (p *pausedBody) Read(data []byte) (int, error) {
	if p.rest == 0 {
		select {
		case n, ok := <-p.parts:
			if !ok {
				return 0, io.EOF
			}
			p.rest = n
		case <-p.aborted:
			return 0, errAborted
		}
	}
	n := min(p.rest, len(data))
	p.rest -= n
	return n, nil
}

func (p *pausedBody) abort() { p.once.Do(func() { close(p.aborted) }) }

// start reads the body within a budget and returns the result.
func (p *pausedBody) start(b *conns.Budget) <-chan readBody {
	result := make(chan readBody, 1)
	go func() {
		body, err := b.Read(context.Background(), p, maxBody, p.abort)
		result <- readBody{body, err}
	}()
	return result
}

type readBody struct {
	*conns.Body
	err error
}

// Guards against a body that is changed, taken for whole when it was cut short, or rejected within its bound.
func TestBudgetReadsBody(t *testing.T) {
	tests := map[string]struct {
		length int
		err    error
		want   error
	}{
		"empty":                {0, io.EOF, nil},
		"short":                {10, io.EOF, nil},
		"a chunk":              {4 << 10, io.EOF, nil},
		"many chunks":          {3<<20 + 7, io.EOF, nil},
		"as long as allowed":   {maxBody, io.EOF, nil},
		"a byte too long":      {maxBody + 1, io.EOF, conns.ErrBodyTooLarge},
		"cut short":            {5 << 10, io.ErrUnexpectedEOF, io.ErrUnexpectedEOF},
		"cut short at a chunk": {4 << 10, io.ErrUnexpectedEOF, io.ErrUnexpectedEOF},
		"cut short at the end": {maxBody, io.ErrUnexpectedEOF, io.ErrUnexpectedEOF},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			data := strings.Repeat("body-", tc.length/5+1)[:tc.length]
			var b conns.Budget
			body, err := b.Read(context.Background(), io.MultiReader(strings.NewReader(data), iotest.ErrReader(tc.err)), maxBody, func() {})
			if tc.want != nil {
				require.ErrorIs(t, err, tc.want)
				require.Zero(t, b.Used())
				return
			}
			require.NoError(t, err)
			require.Equal(t, tc.length, body.Len())
			require.True(t, data == string(body.Bytes()))
			var written bytes.Buffer
			_, err = body.WriteTo(&written)
			require.NoError(t, err)
			require.True(t, data == written.String())
			require.GreaterOrEqual(t, b.Used(), int64(tc.length))
			body.Release()
			body.Release()
			require.Zero(t, b.Used())
		})
	}
}

// Several servers send bodies without an end while others send usual ones. Guards against bodies that together take
// more than the budget, and against a usual response that waits for a long one or fails because of it.
func TestLongestBodyGivesWay(t *testing.T) {
	var b conns.Budget
	first, second := newPausedBody(), newPausedBody()
	firstRead, secondRead := first.start(&b), second.start(&b)
	first.parts <- 9 << 20
	require.Eventually(t, func() bool { return b.Used() >= 9<<20 }, waitTime, tick)
	second.parts <- 6 << 20
	require.Eventually(t, func() bool { return b.Used() >= 15<<20 }, waitTime, tick)
	var usual []*conns.Body
	for range 100 {
		body, err := b.Read(context.Background(), bytes.NewReader(make([]byte, 10<<10)), maxBody, func() {})
		require.NoError(t, err)
		usual = append(usual, body)
	}
	require.ErrorIs(t, (<-firstRead).err, conns.ErrBudgetExceeded, "it held the most")
	close(second.parts)
	require.NoError(t, (<-secondRead).err)
	require.LessOrEqual(t, b.Peak(), int64(16<<20))
	for _, body := range usual {
		body.Release()
	}
}

// Two long bodies do not fit together. Guards against two that wait for each other, and against losing both: the one
// that holds less goes on.
func TestOneOfTwoLongBodiesIsRead(t *testing.T) {
	var b conns.Budget
	bodies := []*pausedBody{newPausedBody(), newPausedBody()}
	var reads []<-chan readBody
	for _, body := range bodies {
		body.parts <- 7 << 20
		reads = append(reads, body.start(&b))
	}
	require.Eventually(t, func() bool { return b.Used() >= 14<<20 }, waitTime, tick)
	for _, body := range bodies {
		body.parts <- 5 << 20
		close(body.parts)
	}
	results := []readBody{<-reads[0], <-reads[1]}
	if results[0].err != nil {
		results[0], results[1] = results[1], results[0]
	}
	require.NoError(t, results[0].err)
	require.ErrorIs(t, results[1].err, conns.ErrBudgetExceeded)
	require.LessOrEqual(t, b.Peak(), int64(16<<20))
}

// The longest body finds no memory, as responses that were read are still being written. Guards against an end of
// a body that nobody needs to give way for, and a wait beyond the deadline.
func TestLongestBodyWaits(t *testing.T) {
	for name, ends := range map[string]bool{"others end": true, "deadline": false} {
		t.Run(name, func(t *testing.T) {
			var b conns.Budget
			written, err := b.Read(context.Background(), bytes.NewReader(make([]byte, 10<<20)), maxBody, func() {})
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			result := make(chan error, 1)
			go func() {
				_, err := b.Read(ctx, bytes.NewReader(make([]byte, 10<<20)), maxBody, func() { t.Error("aborted") })
				result <- err
			}()
			require.Eventually(t, func() bool { return b.Used() == 16<<20 }, waitTime, tick)
			if !ends {
				cancel()
				require.ErrorIs(t, <-result, context.Canceled)
				return
			}
			written.Release()
			require.NoError(t, <-result)
		})
	}
}

// A caller reads a long response slowly, so that it holds the whole budget. Guards against usual responses that wait for
// it, against one that ends another although neither is long, and against a reserve without a bound.
func TestUsualBodiesBesideWrittenOne(t *testing.T) {
	var b conns.Budget
	written, err := b.Read(context.Background(), bytes.NewReader(make([]byte, maxBody)), maxBody, func() {})
	require.NoError(t, err)
	// A read that has to wait fails at once.
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	read := func(length int) (*conns.Body, error) {
		return b.Read(ended, bytes.NewReader(make([]byte, length)), maxBody, func() { t.Error("aborted") })
	}
	usual := []*conns.Body{written}
	for range 100 {
		body, err := read(10 << 10)
		require.NoError(t, err)
		usual = append(usual, body)
	}
	_, err = read(100 << 10)
	require.ErrorIs(t, err, context.Canceled, "not for longer ones")
	for err = nil; err == nil && len(usual) < 1000; {
		var body *conns.Body
		if body, err = read(10 << 10); err == nil {
			usual = append(usual, body)
		}
	}
	require.ErrorIs(t, err, context.Canceled)
	require.LessOrEqual(t, b.Peak(), int64(18<<20))
	for _, body := range usual {
		body.Release()
	}
	require.Zero(t, b.Used())
}

// Guards against a budget below the longest body that is allowed, and one that does not follow the memory of the VM.
func TestBudgetFollowsMemoryLimit(t *testing.T) {
	for limit, fits := range map[int64]bool{0: false, 144 << 20: false, 256 << 20: true} {
		b := conns.Budget{MemoryLimit: func() int64 { return limit }}
		first, err := b.Read(context.Background(), bytes.NewReader(make([]byte, maxBody)), maxBody, func() {})
		require.NoError(t, err, limit)
		ctx, cancel := context.WithTimeout(context.Background(), 20*tick)
		_, err = b.Read(ctx, bytes.NewReader(make([]byte, 10<<20)), maxBody, func() {})
		require.Equal(t, fits, err == nil, limit)
		cancel()
		first.Release()
	}
}
