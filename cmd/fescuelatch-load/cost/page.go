package cost

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// This file defines the tables of docs/CAPACITY.md, which are generated from
// the result of a run.

// tableNames lists the tables in the order of the page.
var tableNames = []string{"points", "slopes", "latency", "busy", "bytes", "processor", "memory", "platform", "limits"}

// row is a line of a table.
type row []string

func formatTable(header row, body ...row) string {
	var b strings.Builder
	line := func(r row) { fmt.Fprintf(&b, "| %s |\n", strings.Join(r, " | ")) }
	line(header)
	separator := make(row, len(header))
	for n := range separator {
		separator[n] = "---"
	}
	line(separator)
	for _, r := range body {
		line(r)
	}
	return b.String()
}

func number(v float64) string {
	switch {
	case v >= 1000 || v <= -1000:
		return fmt.Sprintf("%.0f", v)
	case v >= 10 || v <= -10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.2f", v)
	}
}

func kilobytes(v float64) string    { return number(v/1e3) + " KB" }
func megabytes(v float64) string    { return number(v/1e6) + " MB" }
func percent(v float64) string      { return number(v*100) + " %" }
func microseconds(v float64) string { return number(v*1e6) + " us" }

// Tables returns the tables of the page by name.
func (r *Result) Tables() map[string]string {
	e := r.Slopes.At(LongTermTarget)
	return map[string]string{
		"points":    r.pointTable(),
		"slopes":    r.slopeTable(),
		"latency":   r.latencyTable(),
		"busy":      r.busyTable(),
		"bytes":     bytesTable(&e),
		"processor": r.processorTable(&e),
		"memory":    r.memoryTable(&e),
		"platform":  platformTable(&e),
		"limits":    limitsTable(&e),
	}
}

func (r *Result) pointTable() string {
	var body []row
	for n := range r.Points {
		p := &r.Points[n]
		s := p.Size
		body = append(body, row{
			fmt.Sprintf("%d x %d", s.Domains, s.Daemons), fmt.Sprint(s.Endpoints), fmt.Sprint(s.Versions), fmt.Sprint(s.Accounts),
			percent(p.Idle.Processor), percent(p.Loaded.Processor), megabytes(p.Loaded.Resident),
			number(p.Idle.Control["peer"]), number(p.Loaded.Control["peer"]), number(p.Idle.Control["report"]), number(p.Loaded.Control["report"]),
			number(p.Idle.Control["list"]), number(p.Idle.Control["platform"]),
			number(sum(p.Idle.Platform)), number(sum(p.Loaded.Platform)), number(p.Loaded.Answered),
			number((p.Loaded.Processor - p.Idle.Processor) / p.Loaded.Answered * 1e3),
		})
	}
	return formatTable(row{
		"domains x daemons", "endpoints each", "versions", "accounts", "core idle", "core loaded", "memory",
		"peer B/s idle", "peer B/s loaded", "report B/s idle", "report B/s loaded", "list B/s", "platform B/s idle", "platform calls/s idle", "loaded", "answers/s", "core ms an answer",
	}, body...)
}

func (r *Result) slopeTable() string {
	s := &r.Slopes
	return formatTable(
		row{"one more", "costs a daemon"},
		row{"heartbeat (sent or received, with its reply)", fmt.Sprintf("%s of a core, %s B and %s B for each version, %s B for each under load",
			microseconds(s.ProcessorPerHeartbeat), number(s.HeartbeatBytes), number(s.HeartbeatBytesPerVersion), number(s.LoadedBytesPerVersion))},
		row{"owned endpoint", fmt.Sprintf("%s of a core and %s B in a second for its load reports, %s B with work", microseconds(s.ProcessorPerEndpoint), number(s.ReportBytes), number(s.BusyReportBytes))},
		row{"request", fmt.Sprintf("%s of a core, %s B for a copy of its bill, %s B for ratings", microseconds(s.ProcessorPerRequest), number(s.CopyBytesPerRequest), number(s.RatingBytesPerRequest))},
		row{"token", microseconds(s.ProcessorPerToken) + " of a core"},
		row{"line of the list of VMs", number(s.ListBytesPerVM) + " B in a second for the daemon that reads it"},
		row{"daemon of the failure domain", kilobytes(s.MemoryPerMember) + " of memory"},
		row{"endpoint of the failure domain", kilobytes(s.MemoryPerEndpoint) + " of memory"},
		row{"version", kilobytesAboveNoise(s.MemoryPerVersion) + " of memory"},
		row{"client account", kilobytes(s.MemoryPerAccount) + " of memory"},
		row{"nothing more", fmt.Sprintf("%s of a core, %s of memory, %s B/s for the list where it is read", percent(s.ProcessorBase), megabytes(s.MemoryBase), number(s.ListBytes))},
	)
}

// kilobytesAboveNoise formats v, which measurement noise can make negative.
func kilobytesAboveNoise(v float64) string {
	if v <= 0 {
		return "nothing that can be seen"
	}
	return kilobytes(v)
}

func (r *Result) latencyTable() string {
	line := func(name string, c Comparison) row {
		ms := func(d time.Duration) string { return number(d.Seconds()*1e3) + " ms" }
		return row{name, ms(c.Direct), ms(c.Through), number(c.Ratio)}
	}
	return formatTable(
		row{fmt.Sprintf("answers of %d tokens, medians of %d calls each, in turn", r.Latency.Tokens, r.Latency.Calls), "straight to an engine", "through a daemon", "ratio"},
		line("first token", r.Latency.First),
		line("end", r.Latency.End),
	)
}

func bytesTable(e *Estimate) string {
	return formatTable(
		row{"control traffic of one daemon, today's code at the target", "B/s"},
		row{fmt.Sprintf("heartbeats, %s a second", number(e.Heartbeats)), number(e.HeartbeatBytes)},
		row{"changed evidence in them", number(e.LoadedBytes)},
		row{fmt.Sprintf("copies of bills, %.0f of each", copiesPerBill), number(e.CopyBytes)},
		row{"ratings", number(e.RatingBytes)},
		row{"load reports of endpoints with work", number(e.ReportBytes)},
		row{"list of VMs, as a mean", number(e.ListBytes)},
		row{"followers' calls to the platform, as a mean", number(e.FollowerBytes)},
		row{"all but writes at the platform", number(e.ControlBytes)},
		row{"budget", number(LongTermTarget.Bytes)},
		row{"list of VMs, the daemon of a failure domain that reads it", number(e.ReaderBytes)},
		row{fmt.Sprintf("heartbeats in cells of %.0f, one a second and pair (not built)", cellSize), number(e.CellHeartbeatBytes)},
	)
}

func (r *Result) processorTable(e *Estimate) string {
	return formatTable(
		row{"processor time of one daemon, today's code at the target", "core"},
		row{"without load or others", percent(r.Slopes.ProcessorBase)},
		row{"heartbeats", percent(e.HeartbeatProcessor)},
		row{"load reports", percent(e.Owned * r.Slopes.ProcessorPerEndpoint)},
		row{"control in all", percent(e.ControlProcessor)},
		row{"budget of control", percent(LongTermTarget.Processor)},
		row{fmt.Sprintf("%s requests a second", number(e.Requests)), percent(e.RequestProcessor)},
		row{fmt.Sprintf("%s tokens a second", number(e.Tokens)), percent(e.TokenProcessor)},
	)
}

func (r *Result) memoryTable(e *Estimate) string {
	return formatTable(
		row{"memory of one daemon, today's code at the target", "bytes"},
		row{"base", megabytes(r.Slopes.MemoryBase)},
		row{fmt.Sprintf("connections with %.0f daemons, and what is known of each", e.Connected), megabytes(e.MemberMemory)},
		row{fmt.Sprintf("%s endpoints of the failure domain", number(LongTermTarget.Endpoints/LongTermTarget.Domains)), megabytes(e.EndpointMemory)},
		row{fmt.Sprintf("%.0f versions", LongTermTarget.Versions), megabytes(e.VersionMemory)},
		row{fmt.Sprintf("entries of the configuration, %.0f client accounts among them (assumed)", LongTermTarget.Accounts), megabytes(e.EntryMemory)},
		row{"all", megabytes(e.Memory)},
		row{"budget", megabytes(LongTermTarget.Memory)},
	)
}

func platformTable(e *Estimate) string {
	return formatTable(
		row{"calls to the platform, today's code at the target", "a second"},
		row{"waiting watches of followers, a call each", number(e.Followers)},
		row{"watches opened again and heads read", number(e.Checks)},
		row{"writes of bills, one daemon at a time", number(e.BillWrites)},
		row{"changes of the configuration", number(e.ChangeCalls)},
		row{"starts of daemons", number(e.StartCalls)},
		row{"leases", number(e.LeaseCalls)},
		row{"all but claims", number(e.PlatformCalls)},
		row{"writes of claims, if 1 % of requests need one", number(e.FirstClaimWrites)},
		row{fmt.Sprintf("writes of claims and bills through a relay of each failure domain that groups over %.0f ms (the interval is not built)", groupInterval*1e3), "at most " + number(e.GroupedWrites)},
	)
}

func limitsTable(e *Estimate) string {
	return formatTable(
		row{"what ends first, today's code", "at"},
		row{"budget of bytes by heartbeats alone, 20 versions", number(e.MaxMembersByBytes) + " daemons in a failure domain"},
		row{"budget of processor time by heartbeats", number(e.MaxMembersByProcessor) + " daemons in a failure domain"},
		row{"budget of bytes by the list of VMs alone, the daemon that reads it", number(LongTermTarget.Bytes/max(1e-9, (e.ReaderBytes/(LongTermTarget.Daemons+LongTermTarget.Endpoints)))) + " listed VMs"},
		row{"several hundred (300) writes a second by bills", number(300/(e.BillWrites/LongTermTarget.Daemons)) + " daemons"},
		row{"300 writes a second by claims, ungrouped", number(300/callsPerClaim) + " claims a second in the fleet"},
		row{"daemons of other failure domains heard of", number(2 * partnersPerDaemon)},
	)
}

const (
	tableBegin = "<!-- table %s -->\n"
	tableEnd   = "<!-- end -->\n"
)

// Fill returns the page with its tables regenerated.
func (r *Result) Fill(page string) (string, error) {
	tables := r.Tables()
	for _, name := range tableNames {
		begin := fmt.Sprintf(tableBegin, name)
		before, rest, ok := strings.Cut(page, begin)
		if !ok {
			return "", errors.Errorf("the page has no table %s", name)
		}
		_, after, ok := strings.Cut(rest, tableEnd)
		if !ok {
			return "", errors.Errorf("table %s has no end", name)
		}
		page = before + begin + tables[name] + tableEnd + after
	}
	return page, nil
}
