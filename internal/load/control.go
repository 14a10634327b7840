package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// Paths of the stand-in targets' control interface (docs/PROTOCOLS.md).
const (
	controlPath = "/control"
	recordsPath = "/control/records"
	// resetPath empties the records of every target of a process (DELETE).
	resetPath = "/control/record?target=*"
)

// maxRecordBytes bounds the records of one process that are read.
const maxRecordBytes = 512 << 20

// Faults that the scenarios use (docs/PROTOCOLS.md).
const (
	controlSlow       = "slow"
	controlNeverReply = "never_reply"
	controlSilent     = "silent"
	controlCrash      = "crash"
	controlDrain      = "drain"
	controlClear      = "clear"
)

// allTargets selects every target of a process in a Command.
const allTargets = "*"

// Command is the body of a control command.
type Command struct {
	Target     string  `json:"target"`
	Fault      string  `json:"fault"`
	DurationMS int64   `json:"duration_ms,omitempty"`
	Fraction   float64 `json:"fraction,omitempty"`
	Factor     float64 `json:"factor,omitempty"`
	RestartMS  int64   `json:"restart_ms,omitempty"`
}

// run is an attempt that really started on a target.
type run struct {
	targetapi.Identity
	Query      string `json:"query"`
	AtMostOnce bool   `json:"at_most_once"`
	End        string `json:"end"`
}

// endCompleted marks a run that did its work.
const endCompleted = "completed"

// record is what one target really ran, oldest first.
type record struct {
	Target string `json:"target"`
	// Started counts all runs, also those that are no longer listed.
	Started uint64 `json:"started"`
	Runs    []run  `json:"runs"`
}

// controlClient sends commands to stand-in targets.
type controlClient struct {
	http http.Client
}

func newControlClient() *controlClient {
	return &controlClient{http: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (c *controlClient) command(ctx context.Context, address string, cmd Command) error {
	body, err := json.Marshal(cmd)
	if err != nil {
		return status.Wrap(err, status.InvalidArgument, "", "encode command")
	}
	_, err = c.do(ctx, http.MethodPost, address, controlPath, body)
	return err
}

// reset empties the records, so that those of one run are short.
func (c *controlClient) reset(ctx context.Context, addresses []string) error {
	for _, address := range addresses {
		if _, err := c.do(ctx, http.MethodDelete, address, resetPath, nil); err != nil {
			return err
		}
	}
	return nil
}

func (c *controlClient) records(ctx context.Context, address string) ([]record, error) {
	data, err := c.do(ctx, http.MethodGet, address, recordsPath, nil)
	if err != nil {
		return nil, err
	}
	var reply struct {
		Records []record `json:"records"`
	}
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, status.Wrap(err, status.ReplyMismatch, "", "records of %s are not readable", address)
	}
	return reply.Records, nil
}

func (c *controlClient) do(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, status.Wrap(err, status.InvalidArgument, "", "control address %q", address)
	}
	reply, err := c.http.Do(request)
	if err != nil {
		return nil, status.Wrap(err, status.Unavailable, "", "control %s", address)
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxRecordBytes))
	if err != nil {
		return nil, status.Wrap(err, status.Unavailable, "", "control %s", address)
	}
	if reply.StatusCode != http.StatusOK && reply.StatusCode != http.StatusNoContent {
		return nil, status.New(status.InvalidArgument, "", "control %s: HTTP status %d: %.200s", address, reply.StatusCode, data)
	}
	return data, nil
}
