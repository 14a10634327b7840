package entry

import (
	"expvar"
	"net/http"

	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Metrics holds the counters of an entry since its start.
type Metrics struct {
	engine.Metrics
	// Answered counts complete and partial answers.
	Answered expvar.Int
	// Partial counts answers with less than full coverage.
	Partial expvar.Int
	// ContractMissed counts answers below the minimum coverage of their service.
	ContractMissed expvar.Int
	// ServiceAnswered and ServiceRefused count answers and refusals by service.
	ServiceAnswered, ServiceRefused expvar.Map
	// Refused counts refusals by code.
	Refused expvar.Map
	// Forwards counts requests forwarded to another entry.
	Forwards expvar.Int
	// Replays counts replies with the recorded outcome of a permit.
	Replays expvar.Int
	// SilentConnections counts connections that were closed because they were silent.
	SilentConnections expvar.Int
	// ReplyMismatches counts replies that do not identify their attempt.
	ReplyMismatches expvar.Int
	// PlatformFailures counts failed calls to the platform by document key.
	PlatformFailures expvar.Map
	// OverdueReads counts, by document key, reads of entries that are not watchers because no entry was known
	// to have read the platform recently.
	OverdueReads expvar.Map
	// DocumentsRefused counts invalid versions of documents by document key. The current version stays in
	// force.
	DocumentsRefused expvar.Map
	// ListFaults counts target lists that contradict an earlier one, by configsync.ListFault.
	ListFaults expvar.Map
	// SheetRevision and IndexRevision are the current revisions, zero until both documents are
	// known.
	SheetRevision, IndexRevision expvar.Int
	// StoreEra is the era of the target list: the number of restores of the platform's store from a
	// backup, counted by the store.
	StoreEra expvar.Int
	// HeldBytes returns the bytes held for callers, targets and other entries by kind, and GaveWay the
	// refusals and evictions at the bounds by reason.
	HeldBytes, GaveWay expvar.Func
	// TargetsRevision is the current revision of the target list of relayed services.
	TargetsRevision expvar.Int
	// ConfirmedAge returns, by document key, the milliseconds since the platform was last known to have no
	// newer version. Documents that were never confirmed are missing.
	ConfirmedAge expvar.Func
}

// NewMetrics returns metrics with all counters at zero.
func NewMetrics() *Metrics { return &Metrics{} }

// Publish publishes the metrics at /debug/vars as "balsam_entry". It must not be called more than
// once in a process.
func (m *Metrics) Publish() {
	vars := expvar.NewMap("balsam_entry")
	vars.Set("answered_total", &m.Answered)
	vars.Set("partial_total", &m.Partial)
	vars.Set("contract_missed_total", &m.ContractMissed)
	vars.Set("service_answered_total", &m.ServiceAnswered)
	vars.Set("service_refused_total", &m.ServiceRefused)
	vars.Set("refused_total", &m.Refused)
	vars.Set("attempts_total", &m.Attempts)
	vars.Set("hedges_total", &m.Hedges)
	vars.Set("crashes_total", &m.Crashes)
	vars.Set("failing_targets_total", &m.FailingTargets)
	vars.Set("error_replies_total", &m.ErrorReplies)
	vars.Set("load_reports_total", &m.LoadReports)
	vars.Set("leaving_targets_total", &m.LeavingTargets)
	vars.Set("hold_offs_total", &m.HoldOffs)
	vars.Set("shards_left_out_total", &m.ShardsLeftOut)
	vars.Set("shard_rejections_total", &m.ShardRejections)
	vars.Set("rate_limits_total", &m.RateLimits.Announcements)
	vars.Set("invalid_rate_limits_total", &m.RateLimits.Invalid)
	vars.Set("rate_limited_attempts_total", &m.RateLimits.Attempts)
	vars.Set("cold_targets", &m.RateLimits.ColdTargets)
	vars.Set("rate_tokens_granted_total", &m.RateLimits.TokensGranted)
	vars.Set("rate_tokens_denied_total", &m.RateLimits.TokensDenied)
	vars.Set("rate_allocator_failures_total", &m.RateLimits.AllocatorFailures)
	vars.Set("lost_zones_total", &m.UnreachableZones)
	vars.Set("evacuated_zones", &m.EvacuatedZones)
	vars.Set("evacuation_moved", &m.EvacuationMoved)
	vars.Set("pauses_total", &m.Pauses)
	vars.Set("forwards_total", &m.Forwards)
	vars.Set("replays_total", &m.Replays)
	vars.Set("silent_connections_total", &m.SilentConnections)
	vars.Set("reply_mismatches_total", &m.ReplyMismatches)
	vars.Set("platform_failures_total", &m.PlatformFailures)
	vars.Set("overdue_reads_total", &m.OverdueReads)
	vars.Set("documents_refused_total", &m.DocumentsRefused)
	vars.Set("target_list_faults_total", &m.ListFaults)
	vars.Set("sheet_revision", &m.SheetRevision)
	vars.Set("index_revision", &m.IndexRevision)
	vars.Set("detached", &m.Detached)
	vars.Set("store_era", &m.StoreEra)
	vars.Set("targets_revision", &m.TargetsRevision)
	vars.Set("violations_total", &m.Violations)
	vars.Set("held_bytes", m.HeldBytes)
	vars.Set("gave_way_total", m.GaveWay)
	vars.Set("confirmed_age_ms", m.ConfirmedAge)
}

// SilentConnection implements targethttp.Metrics.
func (m *Metrics) SilentConnection() { m.SilentConnections.Add(1) }

// ReplyMismatch implements targethttp.Metrics.
func (m *Metrics) ReplyMismatch() { m.ReplyMismatches.Add(1) }

// recordAnswer counts an answer and its coverage.
func (m *Metrics) recordAnswer(resp *callerapi.SearchResponse) {
	m.Answered.Add(1)
	if resp.Coverage.Ratio < 1 {
		m.Partial.Add(1)
	}
	if !resp.Coverage.ContractMet {
		m.ContractMissed.Add(1)
	}
}

// recordReply counts an answer or a refusal of a service.
func (m *Metrics) recordReply(service string, code int) {
	if code == http.StatusOK {
		m.ServiceAnswered.Add(service, 1)
	} else {
		m.ServiceRefused.Add(service, 1)
	}
}

// serviceCounts returns the number of answers and refusals of one service.
func (m *Metrics) serviceCounts(name string) (answered, refused uint64) {
	return counterValue(&m.ServiceAnswered, name), counterValue(&m.ServiceRefused, name)
}

func counterValue(m *expvar.Map, key string) uint64 {
	if v, ok := m.Get(key).(*expvar.Int); ok {
		return uint64(v.Value())
	}
	return 0
}

// recordRefusal counts a refusal by its code.
func (m *Metrics) recordRefusal(err *status.Error) { m.Refused.Add(string(err.Code), 1) }
