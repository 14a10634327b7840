package load

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// Range and precision of the latency histograms.
const (
	minLatencyUS       = 1
	maxLatencyUS       = 600_000_000
	significantFigures = 3
)

// maxListedViolations limits the violations that a summary lists. All of them are counted.
const maxListedViolations = 20

// Quantiles are quantiles of a latency in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Violation is a violated guarantee that was detected in a run.
type Violation struct {
	Sequence  int    `json:"sequence"`
	Step      string `json:"step"`
	RequestID string `json:"request_id"`
	Detail    string `json:"detail"`
}

// Summary is the result of a run.
type Summary struct {
	Seed uint64 `json:"seed"`
	// Requests is Answered + Refused + Lost + NotSent.
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// Lost counts requests without a readable answer.
	Lost int `json:"lost"`
	// NotSent counts requests that the load tool did not send because too many were outstanding.
	NotSent int `json:"not_sent"`
	// Latency is the latency of the answered requests, measured from the intended send time.
	Latency Quantiles `json:"latency"`
	// SendDelay is the time from the intended to the actual send. It shows whether the load tool
	// itself was late.
	SendDelay Quantiles `json:"send_delay"`
	// Decision is the time from the send to a refusal.
	Decision Quantiles `json:"refusal_decision"`
	// Coverage is the mean coverage ratio of the answered requests.
	Coverage float64 `json:"coverage"`
	// ContractMet is the fraction of the answered requests that meet the coverage rule.
	ContractMet float64 `json:"contract_met"`
	// Goodput is the number of requests per second that were answered within the contracted
	// latency and meet the coverage rule.
	Goodput float64 `json:"goodput_per_second"`
	// OfferedPerSecond is the demand in requests per second.
	OfferedPerSecond float64 `json:"offered_per_second"`
	// Started counts the attempts that started on the targets, Needed the attempts that the
	// answered requests needed, one for each shard. ExtraLoad is the ratio of the two. Started and
	// ExtraLoad are zero without stand-in targets.
	Started   uint64  `json:"attempts_started"`
	Needed    uint64  `json:"attempts_needed"`
	ExtraLoad float64 `json:"extra_load"`
	// Codes counts the refused and lost requests by code.
	Codes map[status.Code]int `json:"codes"`
	// TruthChecked reports whether the outcomes were compared with the targets' records,
	// TruthComplete whether the records held every attempt.
	TruthChecked   bool        `json:"truth_checked"`
	TruthComplete  bool        `json:"truth_complete"`
	ViolationCount int         `json:"violations"`
	Violations     []Violation `json:"violation_list"`
}

// summarizeRun checks the observations against the ground truth, which may be nil, and summarizes
// them. Lost requests count as violations unless allowLost is set.
func summarizeRun(observations []*Observation, truth *groundTruth, duration time.Duration, allowLost bool) *Summary {
	s := &Summary{Codes: map[status.Code]int{}, Violations: []Violation{}}
	latency := hdrhistogram.New(minLatencyUS, maxLatencyUS, significantFigures)
	decision := hdrhistogram.New(minLatencyUS, maxLatencyUS, significantFigures)
	delay := hdrhistogram.New(minLatencyUS, maxLatencyUS, significantFigures)
	good := 0
	for _, o := range observations {
		if truth != nil {
			o.Violations = append(o.Violations, truth.contradictions(o)...)
		}
		if o.Final && o.response == nil && !o.refused && !o.notSent && !allowLost {
			o.Violations = append(o.Violations, "no readable answer arrived: "+o.Error)
		}
		s.addViolations(o)
		if o.Step == stepSearch || o.Step == stepPermit {
			recordLatency(delay, o.SentUS-o.IntendedUS)
		}
		if !o.Final {
			continue
		}
		s.Requests++
		switch {
		case o.response != nil:
			s.Answered++
			recordLatency(latency, o.DoneUS-o.IntendedUS)
			s.Coverage += o.Coverage.Ratio
			s.Needed += uint64(neededShards(o.Coverage))
			if o.Coverage.ContractMet {
				s.ContractMet++
				if o.DoneUS-o.IntendedUS <= o.contractMS*1_000 {
					good++
				}
			}
		case o.refused:
			s.Refused++
			s.Codes[o.Code]++
			recordLatency(decision, o.DoneUS-o.SentUS)
		case o.notSent:
			s.NotSent++
		default:
			s.Lost++
			s.Codes[o.Code]++
		}
	}
	if s.Answered > 0 {
		s.Coverage /= float64(s.Answered)
		s.ContractMet /= float64(s.Answered)
	}
	s.Latency, s.Decision, s.SendDelay = quantiles(latency), quantiles(decision), quantiles(delay)
	s.Goodput = float64(good) / duration.Seconds()
	s.OfferedPerSecond = float64(s.Requests) / duration.Seconds()
	if truth != nil {
		s.TruthChecked, s.TruthComplete, s.Started = true, truth.complete, truth.started
		if s.Needed > 0 {
			s.ExtraLoad = float64(s.Started) / float64(s.Needed)
		}
	}
	return s
}

func (s *Summary) addViolations(o *Observation) {
	s.ViolationCount += len(o.Violations)
	for _, detail := range o.Violations {
		if len(s.Violations) < maxListedViolations {
			s.Violations = append(s.Violations, Violation{Sequence: o.Sequence, Step: o.Step, RequestID: o.RequestID, Detail: detail})
		}
	}
}

func recordLatency(h *hdrhistogram.Histogram, us int64) {
	// The value is within the range of the histogram, so no error can occur.
	_ = h.RecordValue(min(max(us, minLatencyUS), maxLatencyUS))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(percentile float64) float64 { return float64(h.ValueAtQuantile(percentile)) / 1_000 }
	return Quantiles{P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1_000}
}

// WriteSummary prints a summary as a table.
func WriteSummary(w io.Writer, s *Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	q := func(v Quantiles) string {
		return fmt.Sprintf("p50 %.1f  p90 %.1f  p99 %.1f  p99.9 %.1f  max %.1f ms", v.P50, v.P90, v.P99, v.P999, v.Max)
	}
	fmt.Fprintf(t, "seed\t%d\n", s.Seed)
	fmt.Fprintf(t, "requests\t%d (%.1f/s)\n", s.Requests, s.OfferedPerSecond)
	fmt.Fprintf(t, "answered\t%d\n", s.Answered)
	fmt.Fprintf(t, "refused\t%d\n", s.Refused)
	fmt.Fprintf(t, "lost\t%d\n", s.Lost)
	fmt.Fprintf(t, "not sent\t%d\n", s.NotSent)
	fmt.Fprintf(t, "goodput\t%.1f/s\n", s.Goodput)
	fmt.Fprintf(t, "latency\t%s\n", q(s.Latency))
	fmt.Fprintf(t, "send delay\t%s\n", q(s.SendDelay))
	if s.Refused > 0 {
		fmt.Fprintf(t, "refusal decision\t%s\n", q(s.Decision))
	}
	fmt.Fprintf(t, "coverage\t%.4f mean, contract met by %.1f%% of the answers\n", s.Coverage, 100*s.ContractMet)
	if s.TruthChecked {
		fmt.Fprintf(t, "target load\t%.3f (%d attempts started, %d needed)\n", s.ExtraLoad, s.Started, s.Needed)
	}
	for _, code := range slices.Sorted(maps.Keys(s.Codes)) {
		fmt.Fprintf(t, "code %s\t%d\n", code, s.Codes[code])
	}
	switch {
	case !s.TruthChecked:
		fmt.Fprintln(t, "outcome check\tnone: the settings name no targets")
	case !s.TruthComplete:
		fmt.Fprintln(t, "outcome check\tpartial: the targets' records are too short for the run")
	default:
		fmt.Fprintln(t, "outcome check\tagainst all attempts that the targets recorded")
	}
	fmt.Fprintf(t, "violations\t%d\n", s.ViolationCount)
	if err := t.Flush(); err != nil {
		return err
	}
	for _, v := range s.Violations {
		fmt.Fprintf(w, "  request %d, %s, id %s: %s\n", v.Sequence, v.Step, orDash(v.RequestID), v.Detail)
	}
	return nil
}

// WriteHistory writes the observations to a file, one JSON object per line, ordered by request and
// send time.
func WriteHistory(path string, observations []*Observation) error {
	slices.SortFunc(observations, func(a, b *Observation) int {
		return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.SentUS, b.SentUS))
	})
	file, err := os.Create(path)
	if err != nil {
		return status.Wrap(err, status.Unavailable, "", "create the history")
	}
	out := bufio.NewWriter(file)
	enc := json.NewEncoder(out)
	for _, o := range observations {
		if err := enc.Encode(o); err != nil {
			file.Close()
			return status.Wrap(err, status.Unavailable, "", "write the history %s", path)
		}
	}
	if err := out.Flush(); err != nil {
		file.Close()
		return status.Wrap(err, status.Unavailable, "", "write the history %s", path)
	}
	if err := file.Close(); err != nil {
		return status.Wrap(err, status.Unavailable, "", "close the history %s", path)
	}
	return nil
}

// ViolationError is the error of a run in which violations were detected.
type ViolationError struct {
	Count int
}

// Error implements the error interface.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("%d violations", e.Count)
}
