package experiment

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Options select what a report runs.
type Options struct {
	// Seeds is the number of runs per case, FirstSeed the seed of the first run.
	Seeds     int
	FirstSeed uint64
	// NoiseInstanceHours is the length of the noise run in instance-hours, 0 for none.
	NoiseInstanceHours float64
	// LargeSite adds the runs of LargeSite, which has the largest intended size.
	LargeSite bool
	// OmitBaselines omits the baselines.
	OmitBaselines bool
}

// FirstHeldOutSeed is the first seed that is reserved for reports. Only lower seeds may be used to
// tune the policies.
const FirstHeldOutSeed = 1_000_000

// ReportAll runs all cases, writes the results as Markdown tables and returns them.
func ReportAll(out io.Writer, o Options) []Result {
	var all []Result
	policies := Policies()
	if o.OmitBaselines {
		policies = policies[:1]
	}
	for _, site := range []Site{Bureau, Registry} {
		for _, load := range []float64{0.4, 0.7} {
			fmt.Fprintf(out, "\n### %s, %.0f %% load, %d runs a row\n\n%s\n", site.Name, 100*load, o.Seeds, tableHead)
			for _, fault := range Faults {
				for _, policy := range policies {
					r := RunCase(site, policy, fault, load, o.FirstSeed, o.Seeds)
					all = append(all, r)
					fmt.Fprintln(out, r.row())
				}
			}
		}
	}
	if o.LargeSite {
		fmt.Fprintf(out, "\n### %s, 1,600 fronts, 40 %% load, 2 runs a row\n\n%s\n", LargeSite.Name, tableHead)
		for _, fault := range []Fault{NoFault, Slow5, Errors, Stuck} {
			r := RunCase(LargeSite, "radishhoist", fault, 0.4, o.FirstSeed, 2)
			all = append(all, r)
			fmt.Fprintln(out, r.row())
		}
	}
	if o.NoiseInstanceHours > 0 {
		fmt.Fprintf(out, "\n### False ejections under noise\n\n")
		for _, site := range []Site{Bureau, Registry} {
			alarms, hours := DefaultNoise(site).CountAlarms(o.NoiseInstanceHours, o.FirstSeed)
			fmt.Fprintf(out, "- %s: %d alarms in %.0f healthy instance-hours, %.2f per 1,000\n", site.Name, alarms, hours, 1000*float64(alarms)/hours)
		}
	}
	return all
}

// ReportRecovery only runs the case of a short load spike and writes the number of failures in the last
// ten seconds of the runs, long after the spike. A policy that recovers without intervention has
// none.
func ReportRecovery(out io.Writer, o Options) {
	fmt.Fprintf(out, "| site | load | policy | failed in the last ten seconds, %d runs |\n|---|---|---|---|\n", o.Seeds)
	for _, site := range []Site{Bureau, Registry} {
		for _, load := range []float64{0.4, 0.7} {
			for _, policy := range Policies() {
				r := RunCase(site, policy, ShortSpike, load, o.FirstSeed, o.Seeds)
				fmt.Fprintf(out, "| %s | %.0f %% | %s | %d |\n", site.Name, 100*load, policy, r.TailFailures)
			}
		}
	}
}

const tableHead = `| fault | policy | detection p50 / p99 | false ejections per instance-hour | failed % | late % | p99 | executions per request | least margin over the floor, slots | ejections below the floor |
|---|---|---|---|---|---|---|---|---|---|`

func (r Result) row() string {
	detection := "-"
	if r.Fault.isGray() {
		detection = fmt.Sprintf("%s / %s", r.DetectP50, r.DetectP99)
	}
	margin := "-"
	if r.MinMargin < 1<<30 {
		margin = fmt.Sprint(r.MinMargin)
	}
	return fmt.Sprintf("| %s | %s | %s | %.2f | %.3f | %.3f | %s | %.3f | %s | %d |",
		r.Fault, r.Policy, detection, r.FalseEjections, r.FailedPct, r.LatePct, r.P99.Round(time.Millisecond), r.StartsPerRequest, margin, r.FloorViolations)
}

// SVG returns a bar chart of the detection time and the 99th percentile of the latency of each policy
// with one slow target.
func SVG(results []Result) string {
	var b strings.Builder
	const width, barHeight, left = 900, 16, 230
	var rows []Result
	for _, r := range results {
		if r.Fault == Slow5 && r.Load == 0.4 && r.Site != LargeSite.Name {
			rows = append(rows, r)
		}
	}
	height := 60 + len(rows)*2*(barHeight+4) + 20
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", width, height)
	b.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	b.WriteString(`<text x="10" y="20" font-size="14">One target five times slower, 40 % load: time until it is ejected (dark, s, 30 = never) and p99 of answers (light, ms)</text>` + "\n")
	y := 45
	for _, r := range rows {
		fmt.Fprintf(&b, `<text x="10" y="%d">%s: %s</text>`+"\n", y+12, r.Site, r.Policy)
		bar(&b, left, y, r.DetectP50.Seconds()/30*500, "#335577", fmt.Sprintf("%.1f s", r.DetectP50.Seconds()))
		bar(&b, left, y+barHeight+2, float64(r.P99.Milliseconds())/2000*500, "#99bbdd", fmt.Sprintf("%d ms", r.P99.Milliseconds()))
		y += 2 * (barHeight + 4)
	}
	b.WriteString("</svg>\n")
	return b.String()
}

func bar(b *strings.Builder, x, y int, length float64, color, label string) {
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="%.0f" height="14" fill="%s"/><text x="%.0f" y="%d">%s</text>`+"\n",
		x, y, max(length, 1), color, float64(x)+length+6, y+12, label)
}
