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
	// clearRecordsPath clears the records of every target of a process (DELETE).
	clearRecordsPath = "/control/record?target=*"
)

// maxRecordsBytes limits the size of the records that are read from one process.
const maxRecordsBytes = 512 << 20

// Faults of the control interface that the scenarios use (docs/PROTOCOLS.md).
const (
	faultSlow       = "slow"
	faultNeverReply = "never_reply"
	faultSilent     = "silent"
	faultCrash      = "crash"
	faultDrain      = "drain"
	faultClear      = "clear"
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

// attempt is one attempt that started on a target, as the target recorded it.
type attempt struct {
	targetapi.Identity
	Query      string `json:"query"`
	AtMostOnce bool   `json:"at_most_once"`
	End        string `json:"end"`
}

// endCompleted is the End of an attempt that completed its work.
const endCompleted = "completed"

// targetRecord lists the attempts that one target recorded, oldest first.
type targetRecord struct {
	Target string `json:"target"`
	// Started counts all attempts, including those that are no longer listed.
	Started  uint64    `json:"started"`
	Attempts []attempt `json:"runs"`
}

// controlClient sends commands to stand-in targets and reads their records.
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

// clearRecords clears the records of the targets, so that they only hold the attempts of one run.
func (c *controlClient) clearRecords(ctx context.Context, addresses []string) error {
	for _, address := range addresses {
		if _, err := c.do(ctx, http.MethodDelete, address, clearRecordsPath, nil); err != nil {
			return err
		}
	}
	return nil
}

func (c *controlClient) records(ctx context.Context, address string) ([]targetRecord, error) {
	data, err := c.do(ctx, http.MethodGet, address, recordsPath, nil)
	if err != nil {
		return nil, err
	}
	var reply struct {
		Records []targetRecord `json:"records"`
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
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxRecordsBytes))
	if err != nil {
		return nil, status.Wrap(err, status.Unavailable, "", "control %s", address)
	}
	if reply.StatusCode != http.StatusOK && reply.StatusCode != http.StatusNoContent {
		return nil, status.New(status.InvalidArgument, "", "control %s: HTTP status %d: %.200s", address, reply.StatusCode, data)
	}
	return data, nil
}
