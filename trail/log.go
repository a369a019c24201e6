package trail

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	// maxLineBytes is the maximum length of a line. The longest lines are server reports with all
	// adapters, which have a few kilobytes.
	maxLineBytes = 1 << 20
	// maxBadLines is the maximum number of unreadable lines that are listed.
	maxBadLines = 5
)

// textID identifies an interned text.
type textID uint32

// textTable interns texts that occur in many lines. ID 0 is the empty text. The zero value is ready
// to use.
type textTable struct {
	ids   map[string]textID
	texts []string
}

func (t *textTable) id(text string) textID {
	if text == "" {
		return 0
	}
	if id, ok := t.ids[text]; ok {
		return id
	}
	if t.ids == nil {
		t.ids, t.texts = make(map[string]textID), []string{""}
	}
	id := textID(len(t.texts))
	t.ids[text] = id
	t.texts = append(t.texts, text)
	return id
}

func (t *textTable) text(id textID) string {
	if id == 0 {
		return ""
	}
	return t.texts[id]
}

// order is an order to a server to load or unload a model.
type order struct {
	at            int64
	model, server textID
	unload        bool
	result        int8
}

// BadLine describes a line that could not be read.
type BadLine struct {
	source string
	line   int
	err    error
}

// String returns the source and number of the line and the error.
func (b BadLine) String() string { return fmt.Sprintf("%s line %d: %v", b.source, b.line, b.err) }

// Log holds the data of the lines read. The zero value is ready to use.
type Log struct {
	// RequestID is the ID of the request whose lines are retained for its timeline, "" for none. It
	// must be set before the first Read.
	RequestID string

	texts    textTable
	lines    int
	bad      int
	badLines []BadLine
	firstAt  int64
	lastAt   int64
	vms      map[textID]bool
	requests []Request
	orders   []order
	// repeats are the requests sent once more, and starts when each VM's processes started.
	repeats []repeat
	starts  map[textID][]int64
	// failedAttempts counts the failed attempts, by server and reason.
	failedAttempts map[failedAttempt]int
	// changes holds when each VM first stated that it knows of a change, and running from when to
	// when each VM logged.
	changes map[change]map[textID]int64
	running map[textID]runningSpan
	// timeline holds the lines of the request selected by RequestID.
	timeline []timelineLine
}

type failedAttempt struct{ server, reason textID }

// timelineLine is a line about the request of the timeline.
type timelineLine struct {
	at   time.Time
	vm   string
	text string
	line logLine
}

// Lines returns the number of lines, and how many of them could not be read.
func (l *Log) Lines() (all, bad int) { return l.lines, l.bad }

// BadLines returns the first lines that could not be read, at most maxBadLines.
func (l *Log) BadLines() []BadLine { return l.badLines }

// Requests returns the requests in the order of their lines.
func (l *Log) Requests() []Request { return l.requests }

// Read adds the lines of a source, whose name is used in messages. Lines that cannot be read are
// counted. Read returns an error only if reading from the source fails.
func (l *Log) Read(source string, r io.Reader) error {
	in := bufio.NewReaderSize(r, 64<<10)
	var long []byte
	for lineNumber := 1; ; lineNumber++ {
		text, tooLong, err := readLine(in, &long)
		if len(text) > 0 || tooLong {
			l.lines++
			if tooLong {
				l.addBadLine(source, lineNumber, errTooLong)
			} else {
				l.addLine(source, lineNumber, text)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read %s, line %d: %w", source, lineNumber, err)
		}
	}
}

// readLine returns the next line without its line ending. Lines longer than maxLineBytes are
// skipped. The text is valid until the next call.
func readLine(in *bufio.Reader, long *[]byte) (text []byte, tooLong bool, err error) {
	*long = (*long)[:0]
	for {
		part, err := in.ReadSlice('\n')
		if err == nil && len(*long) == 0 && !tooLong {
			return trim(part), false, nil
		}
		if tooLong = tooLong || len(*long)+len(part) > maxLineBytes; !tooLong {
			*long = append(*long, part...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return trim(*long), tooLong, err
		}
	}
}

func trim(text []byte) []byte {
	for len(text) > 0 && (text[len(text)-1] == '\n' || text[len(text)-1] == '\r') {
		text = text[:len(text)-1]
	}
	return text
}

func (l *Log) addBadLine(source string, lineNumber int, err error) {
	l.bad++
	if len(l.badLines) < maxBadLines {
		l.badLines = append(l.badLines, BadLine{source, lineNumber, err})
	}
}

func (l *Log) addLine(source string, lineNumber int, text []byte) {
	parsed, err := parse(text)
	if err != nil {
		l.addBadLine(source, lineNumber, err)
		return
	}
	l.extendSpan(parsed.Time.UnixNano())
	vm := l.texts.id(parsed.VM)
	if l.vms == nil {
		l.vms, l.failedAttempts = make(map[textID]bool), make(map[failedAttempt]int)
	}
	l.vms[vm] = true
	l.extendRunning(vm, parsed.Time.UnixNano())
	l.addChange(vm, &parsed)
	if l.RequestID != "" && (parsed.Request == l.RequestID || parsed.Resumes == l.RequestID) {
		l.timeline = append(l.timeline, timelineLine{at: parsed.Time, vm: parsed.VM, text: string(text), line: parsed})
	}
	switch parsed.Message {
	case messageRequest:
		l.requests = append(l.requests, l.newRequest(vm, &parsed))
	case messageAttemptFailed:
		l.failedAttempts[failedAttempt{l.texts.id(parsed.Server), l.texts.id(normalizeReason(parsed.Reason))}]++
	case messageRetry:
		l.addRepeat(vm, &parsed)
	case messageStarted:
		l.addStart(vm, parsed.Time.UnixNano())
	case messageOrder:
		if parsed.Adapter == "" {
			l.orders = append(l.orders, order{
				parsed.Time.UnixNano(), l.texts.id(parsed.Model), l.texts.id(parsed.Server), parsed.Unload, int8(parsed.OrderResult),
			})
		}
	}
}

func (l *Log) extendSpan(at int64) {
	if l.firstAt == 0 || at < l.firstAt {
		l.firstAt = at
	}
	l.lastAt = max(l.lastAt, at)
}

func (l *Log) newRequest(vm textID, parsed *logLine) Request {
	outcome, cause := classify(parsed)
	r := Request{
		at: parsed.Time.UnixNano(), vm: vm,
		route: l.texts.id(parsed.Route), service: l.texts.id(parsed.Service), model: l.texts.id(parsed.Model),
		outcome: outcome, cause: l.texts.id(cause), attempts: uint8(min(parsed.Attempts, 255)),
		streamed:     parsed.PauseLimit > 0,
		sentDirectly: parsed.Attempts == 1 && parsed.AdmissionWait == 0 && parsed.FindWait == 0,
		objective:    float32(parsed.Objective), predicted: float32(parsed.Predicted), firstEvent: float32(parsed.FirstEvent),
		pauseLimit: float32(parsed.PauseLimit), longestPause: float32(parsed.LongestPause),
		admissionWait: float32(parsed.AdmissionWait), duration: float32(parsed.Duration),
	}
	if len(parsed.Servers) > 0 {
		r.server = l.texts.id(parsed.Servers[len(parsed.Servers)-1])
	}
	return r
}
