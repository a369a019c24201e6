// Package trail analyzes the log lines of a deployment's processes and reports which requests
// were lost or late, and why. It reads lines of any number of VMs, in any order, and writes
// tables, the timeline of a single request, and plots. The running system does not use it.
package trail

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Messages of the log lines that are evaluated.
const (
	messageRequest       = "request"
	messageAttemptFailed = "try failed"
	messageOrder         = "order"
	messageServerChanged = "server changed"
	messageServerRemoved = "server removed"
	messageServerSilent  = "server silent"
	messageRejected      = "request rejected"
	messageProxied       = "request proxied"
)

// logLine is a parsed log line. Durations are in milliseconds, as zerolog writes them.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	VM      string    `json:"vm"`
	Request string    `json:"request"`

	Team     string   `json:"team"`
	Route    string   `json:"route"`
	Service  string   `json:"service"`
	Model    string   `json:"model"`
	Adapter  string   `json:"adapter"`
	Servers  []string `json:"servers"`
	Attempts int      `json:"sends"`
	// SoftwareVersions holds that of the server of each send. Resumes is the attempt that began the stream
	// which the request takes up after the event ResumedAfter.
	SoftwareVersions []string `json:"software_versions"`
	Resumes          string   `json:"resumes"`
	ResumedAfter     string   `json:"resumed_after"`
	// BoundVersion is the version that the request was bound to, and BoundBy how that was found out.
	BoundVersion  string  `json:"bound_version"`
	BoundBy       string  `json:"bound_by"`
	Status        int     `json:"status"`
	Reason        string  `json:"reason"`
	Objective     float64 `json:"objective"`
	PauseLimit    float64 `json:"pause_limit"`
	Predicted     float64 `json:"predicted"`
	Running       int     `json:"running"`
	FirstEvent    float64 `json:"first_event"`
	LongestPause  float64 `json:"longest_pause"`
	Events        int     `json:"events"`
	AdmissionWait float64 `json:"held"`
	FindWait      float64 `json:"sought"`
	Duration      float64 `json:"took"`

	// LeftSilent lists the servers that the request left because they were silent.
	LeftSilent []string `json:"left_silent"`

	// StopsIn is how long before the exit of its VM a request arrived, 0 if the VM was not stopping, and Expected how
	// long its whole answer was expected to take then.
	StopsIn  float64 `json:"stops_in"`
	Expected float64 `json:"expected"`

	// ServerLeaving and ServerRetryAfter are what the last response said about its server.
	ServerLeaving    bool   `json:"server_leaving"`
	ServerRetryAfter string `json:"server_retry_after"`

	// Framing is how the last response marked its end, PartialEventBytes what was left over of an event then.
	Framing           string `json:"framing"`
	PartialEventBytes int    `json:"partial_event"`
	// Proxy is the address of the VM through which the last attempt went. The line of that VM has From, the
	// address of the VM that has the caller, and Result.
	Proxy  string `json:"proxy"`
	From   string `json:"from"`
	Result string `json:"result"`

	Server          string `json:"server"`
	SoftwareVersion string `json:"software_version"`
	Unload          bool   `json:"unload"`
	OrderResult     int    `json:"verdict"`

	// Allowed and VMs are of a repeat: whether the retry budget allowed it, and the number of VMs that it is
	// divided among.
	Allowed bool `json:"allowed"`
	VMs     int  `json:"vms"`

	// ConfigVersion is the operators' version of the configuration in force.
	ConfigVersion int    `json:"config_version"`
	Holder        string `json:"holder"`
}

// Errors of lines that are skipped.
var (
	errNoJSONObject    = errors.New("no JSON object")
	errTruncated       = errors.New("cut off")
	errTooLong         = errors.New("longer than the maximum line length")
	errNoTimeOrMessage = errors.New("no time or message")
)

// parse parses a line. It ignores text before the JSON object, which log collectors add.
func parse(text []byte) (logLine, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, errNoJSONObject
	}
	var l logLine
	err := json.Unmarshal(text[start:], &l)
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax) && errors.Is(err, io.ErrUnexpectedEOF), err != nil && !json.Valid(text[start:]):
		return logLine{}, errTruncated
	case err != nil:
		return logLine{}, fmt.Errorf("field of wrong type: %w", err)
	case l.Time.IsZero() || l.Message == "":
		return logLine{}, errNoTimeOrMessage
	}
	return l, nil
}
