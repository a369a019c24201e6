package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/hibiscuscart/hibiscuscart"
)

const (
	maxEventBytes = 1 << 20
	endMarker     = "[DONE]"
	maxTail       = 4 << 10
)

var errNoEnd = errors.New("the stream ended without its end frame")

// readFrames reads server-sent events (WHATWG HTML, section 9.2) as frames
// until the end frame.
func readFrames(r io.Reader, frame func(hibiscuscart.Frame) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	sequence := 0
	for lines.Scan() {
		name, value, _ := bytes.Cut(lines.Bytes(), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			n, err := strconv.Atoi(string(value))
			if err != nil {
				return fmt.Errorf("event id %q: %w", value, err)
			}
			sequence = n
		case "data":
			f, err := parseFrame(sequence, value)
			if err != nil {
				return err
			}
			if err := frame(f); err != nil {
				return fmt.Errorf("frame %d: %w", sequence, err)
			}
			if f.End {
				drain(r)
				return nil
			}
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read stream: %w", err)
	}
	return errNoEnd
}

// drain reads what follows the end frame, which is nothing but the end of the
// body: a body that is closed before its end takes its connection with it.
func drain(r io.Reader) { _, _ = io.CopyN(io.Discard, r, maxTail) }

// parseFrame decodes one event. The end frame carries no attempt of its own.
func parseFrame(sequence int, data []byte) (hibiscuscart.Frame, error) {
	if string(data) == endMarker {
		return hibiscuscart.Frame{Sequence: sequence, End: true}, nil
	}
	var body struct {
		ID      string `json:"id"`
		Choices []struct {
			Text   string `json:"text"`
			Finish string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return hibiscuscart.Frame{}, fmt.Errorf("decode event %d: %w", sequence, err)
	}
	f := hibiscuscart.Frame{Attempt: body.ID, Sequence: sequence}
	if len(body.Choices) > 0 {
		f.Text = body.Choices[0].Text
		f.FinishReason = body.Choices[0].Finish
	}
	return f, nil
}
