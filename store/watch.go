package store

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cenkalti/backoff/v5"

	"github.com/hibiscuscart/hibiscuscart/pause"
)

// EventType is the type of a watch event.
type EventType string

// The event types of a watch.
const (
	EventPut      EventType = "put"
	EventDelete   EventType = "delete"
	EventBookmark EventType = "bookmark"
)

const maxEventBytes = 2 << 20

// Event is one change of an object, or a bookmark, which only advances the
// version to watch from.
type Event struct {
	Type    EventType       `json:"type"`
	Name    string          `json:"name"`
	Version int             `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Watch calls onEvent for each change of a kind after fromVersion, until ctx
// ends or the stream breaks. It returns the version to watch from next.
func (c *Client) Watch(ctx context.Context, kind string, fromVersion int, onEvent func(Event)) (int, error) {
	req, err := c.request().Get("/watch/"+kind).Set("From-Version", strconv.Itoa(fromVersion)).Request()
	if err != nil {
		return fromVersion, fmt.Errorf("build watch request: %w", err)
	}
	resp, _, err := c.http().Do(req.WithContext(ctx))
	if err != nil {
		return fromVersion, fmt.Errorf("watch %s: %w", kind, &UnavailableError{Err: err})
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fromVersion, fmt.Errorf("watch %s: %w", kind, statusError(http.MethodGet, resp))
	}
	return readEvents(resp, fromVersion, onEvent)
}

func readEvents(resp *http.Response, version int, onEvent func(Event)) (int, error) {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 64<<10), maxEventBytes)
	for lines.Scan() {
		var e Event
		if err := e.decode(lines.Bytes()); err != nil {
			return version, err
		}
		version = max(version, e.Version)
		if e.Type != EventBookmark && e.Name != "" {
			e.Value = bytes.Clone(e.Value)
			onEvent(e)
		}
	}
	if errors.Is(lines.Err(), bufio.ErrTooLong) {
		// The watch would never get past this event, a list does.
		return version, fmt.Errorf("event of more than %d bytes: %w", maxEventBytes, &GoneError{})
	}
	return version, fmt.Errorf("watch stream ended: %w", &UnavailableError{Err: lines.Err()})
}

// ListAndWatch lists a kind and then watches it until ctx ends. It lists again
// after a gap in the watch and backs off while the platform is unavailable.
// onList gets the complete list, so that deletions during a gap are seen.
func (c *Client) ListAndWatch(ctx context.Context, kind string, onList func(Listing), onEvent func(Event)) {
	backOff := newBackOff()
	for ctx.Err() == nil {
		list, err := c.List(ctx, kind)
		if err != nil {
			pause.For(ctx, backOff.NextBackOff())
			continue
		}
		backOff.Reset()
		onList(list)
		c.watchUntilGone(ctx, kind, list.Version, onEvent, backOff)
	}
}

// watchUntilGone repeats the watch until ctx ends or the platform reports that
// the version is too old.
func (c *Client) watchUntilGone(ctx context.Context, kind string, version int, onEvent func(Event), backOff *backoff.ExponentialBackOff) {
	for ctx.Err() == nil {
		next, err := c.Watch(ctx, kind, version, onEvent)
		if IsGone(err) {
			return
		}
		if next > version {
			backOff.Reset()
		}
		version = next
		pause.For(ctx, backOff.NextBackOff())
	}
}
