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
	maxEventBytes    = 1 << 20
	endOfStream      = "[DONE]"
	maxTrailingBytes = 4 << 10
)

var errMissingEndFrame = errors.New("stream ended without the end frame")

// readFrames decodes server-sent events (WHATWG HTML, section 9.2) into frames
// and calls onFrame for each until the end frame.
func readFrames(r io.Reader, onFrame func(hibiscuscart.Frame) error) error {
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
				return fmt.Errorf("parse event id %q: %w", value, err)
			}
			sequence = n
		case "data":
			f, err := parseFrame(sequence, value)
			if err != nil {
				return err
			}
			if err := onFrame(f); err != nil {
				return fmt.Errorf("handle frame %d: %w", sequence, err)
			}
			if f.End {
				drainBody(r)
				return nil
			}
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read stream: %w", err)
	}
	return errMissingEndFrame
}

// drainBody reads the rest of the body after the end frame. The connection is
// reused only if the body is read to its end.
func drainBody(r io.Reader) { _, _ = io.CopyN(io.Discard, r, maxTrailingBytes) }

// parseFrame decodes the data of one event. The end frame has no attempt ID.
func parseFrame(sequence int, data []byte) (hibiscuscart.Frame, error) {
	if string(data) == endOfStream {
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
