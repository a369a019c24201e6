package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/origin"
)

// originsReport compares who may keep which software version began a stream, and measures the way that is used.
type originsReport struct {
	CommonReport
	Rows []originsRow `json:"rows"`
	Cost originsCost  `json:"cost"`
}

// originsRow is the share of the streams of ended VMs that can be taken up, by who keeps their versions.
type originsRow struct {
	VMs   int     `json:"vms"`
	Ended float64 `json:"ended"`
	// Keepers, Hub and FirstVM are the shares if three VMs by hash, the controller or the VM that began the stream
	// keeps it. The controller is among the ended VMs. The list of servers alone proves nothing while two
	// versions serve.
	Keepers float64 `json:"keepers"`
	Hub     float64 `json:"hub"`
	FirstVM float64 `json:"first_vm"`
	// BusiestKeeper is the number of origins at the VM that has most, as a multiple of the mean.
	BusiestKeeper float64 `json:"busiest_keeper"`
}

// originsCost is what a stream costs on this machine.
type originsCost struct {
	// Tell is added to the first event, TakeUp to a stream that is taken up, at the median and for 99 in 100.
	Tell          time.Duration `json:"tell_ns"`
	TakeUp        time.Duration `json:"take_up_ns"`
	TakeUp99      time.Duration `json:"take_up_99_ns"`
	BytesTold     float64       `json:"bytes_told"`
	BytesTakenUp  float64       `json:"bytes_taken_up"`
	MemoryPerKept float64       `json:"memory_per_kept_bytes"`
}

const (
	originsStreams = 4000
	// originsDomains is the number of failure domains; callers come back to the one of their first try.
	originsDomains = 6
	// measuredVMs is the number of VMs whose sockets are measured.
	measuredVMs = 9
	// originsRate is the number of streams a second that each VM of the large fleet begins.
	originsRate = 23
)

// origins replays VMs that end while two software versions serve, and measures the exchange of origins on loopback.
func origins(ctx context.Context, o Options) (Report, error) {
	report := &originsReport{CommonReport: CommonReport{Experiment: "origins", Seed: o.Seed}}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	for _, vms := range []int{9, 87, 300, 985} {
		for _, ended := range []float64{0.12, 0.3, 0.6} {
			row := replayOrigins(rng, vms, ended)
			report.Rows = append(report.Rows, row)
			report.FaultsInjected++
			report.Requests += originsStreams
			fmt.Fprintf(o.Out, "%3d VMs, %.2f ended: taken up keepers %.3f hub %.3f first VM %.3f; busiest keeper %.2f of the mean\n",
				vms, ended, row.Keepers, row.Hub, row.FirstVM, row.BusiestKeeper)
		}
	}
	cost, err := measureOrigins(ctx)
	if err != nil {
		return report, err
	}
	report.Cost = cost
	perVM := originsRate * cost.BytesTold
	fmt.Fprintf(o.Out, "first event +%v, taken up +%v (99 in 100: %v), %.0f bytes a stream told, %.0f taken up, %.0f bytes kept\n",
		cost.Tell, cost.TakeUp, cost.TakeUp99, cost.BytesTold, cost.BytesTakenUp, cost.MemoryPerKept)
	fmt.Fprintf(o.Out, "at 985 VMs with %d streams a second each: %.1f KB/s sent by a VM, %.0f KB/s received by a hub that kept all, %.2f MB kept by a VM\n",
		originsRate, perVM/1e3, perVM/3*985/1e3, originsRate*3*origin.Retention.Seconds()*cost.MemoryPerKept/1e6)
	return report, nil
}

// replayOrigins begins streams at VMs, ends a share of these with the controller, and takes up the streams that the
// ended VMs began.
func replayOrigins(rng *rand.Rand, vms int, ended float64) originsRow {
	all := make([]origin.Keeper, vms)
	for i := range all {
		all[i] = origin.Keeper{Address: fmt.Sprintf("10.0.%d.%d:7500", i/250, i%250), Domain: fmt.Sprint(i % originsDomains)}
	}
	controller := rng.IntN(vms)
	gone := map[string]bool{all[controller].Address: true}
	for len(gone) < int(ended*float64(vms)) {
		gone[all[rng.IntN(vms)].Address] = true
	}
	left := slices.DeleteFunc(slices.Clone(all), func(k origin.Keeper) bool { return gone[k.Address] })
	kept := make(map[string]int)
	row := originsRow{VMs: vms, Ended: ended}
	tried, taken := 0, 0
	for i := range originsStreams {
		attempt := fmt.Sprintf("%016x", rng.Uint64())
		first := all[i%vms]
		told := origin.KeepersOf(attempt, all, first.Domain, first.Address)
		for _, address := range told {
			kept[address]++
		}
		if !gone[first.Address] {
			continue
		}
		tried++
		next := left[rng.IntN(len(left))]
		if near := slices.IndexFunc(left, func(k origin.Keeper) bool { return k.Domain == first.Domain }); near >= 0 {
			next = left[near]
		}
		// The list still has the VMs that have just ended.
		asked := append(origin.KeepersOf(attempt, all, next.Domain, next.Address), next.Address)
		if slices.ContainsFunc(asked, func(a string) bool { return !gone[a] && slices.Contains(told, a) }) {
			taken++
		}
	}
	row.Keepers = float64(taken) / float64(max(tried, 1))
	most := 0
	for _, n := range kept {
		most = max(most, n)
	}
	row.BusiestKeeper = float64(most) * float64(vms) / float64(originsStreams*min(3, vms-1))
	return row
}

// measureOrigins measures the exchange among VMs on loopback.
func measureOrigins(ctx context.Context) (originsCost, error) {
	vms, err := startExchanges()
	defer closeExchanges(vms)
	if err != nil {
		return originsCost{}, fmt.Errorf("measure origins: %w", err)
	}
	var cost originsCost
	record := origin.Record{Service: "label-llm", Version: "v1.1"}
	cost.Tell = measureTell(vms, record)
	cost.BytesTold = bytesSent(vms) / originsStreams
	time.Sleep(100 * time.Millisecond)
	before := bytesSent(vms)
	took, err := measureAsk(ctx, vms)
	if err != nil {
		return cost, fmt.Errorf("measure origins: %w", err)
	}
	cost.TakeUp, cost.TakeUp99 = took[len(took)/2], took[len(took)*99/100]
	cost.BytesTakenUp = (bytesSent(vms) - before) / originsStreams
	cost.MemoryPerKept = measureStore(record)
	return cost, nil
}

// startExchanges starts the exchanges of measuredVMs VMs. It also returns those that listen if one fails to.
func startExchanges() ([]*origin.Exchange, error) {
	var all []origin.Keeper
	var vms []*origin.Exchange
	for i := range measuredVMs {
		x := &origin.Exchange{
			Address: fmt.Sprintf("127.0.2.%d:0", i+1), Domain: fmt.Sprint(i % originsDomains), Keepers: func(time.Time) []origin.Keeper { return all },
			Key: func() string { return "key" }, AcceptedKeys: func() []string { return []string{"key"} }, Now: clock.Now, Log: zerolog.Nop(), Meter: meter.New(),
		}
		if err := x.Listen(); err != nil {
			return vms, err
		}
		all = append(all, origin.Keeper{Address: x.Address, Domain: x.Domain})
		vms = append(vms, x)
	}
	for _, x := range vms {
		go x.Serve()
	}
	return vms, nil
}

func closeExchanges(vms []*origin.Exchange) {
	for _, x := range vms {
		x.Close()
	}
}

func bytesSent(vms []*origin.Exchange) (total float64) {
	for _, x := range vms {
		total += float64(x.Meter.CounterValue("origin.bytes_sent"))
	}
	return total
}

// measureTell tells the origins of originsStreams streams and returns the mean time of one.
func measureTell(vms []*origin.Exchange, record origin.Record) time.Duration {
	start := time.Now()
	for i := range originsStreams {
		vms[i%measuredVMs].Tell(fmt.Sprintf("%016x", i), record)
		if i%100 == 99 {
			// No socket buffer overflows, as none does at the rates of a VM.
			time.Sleep(time.Millisecond)
		}
	}
	return (time.Since(start) - originsStreams/100*time.Millisecond) / originsStreams
}

// measureAsk asks for the origins of all streams, each at another VM than the one that told it, and returns the
// sorted times.
func measureAsk(ctx context.Context, vms []*origin.Exchange) ([]time.Duration, error) {
	var took []time.Duration
	for i := range originsStreams {
		start := time.Now()
		if _, verdict := vms[(i+4)%measuredVMs].Ask(ctx, fmt.Sprintf("%016x", i)); verdict != origin.Known {
			return nil, fmt.Errorf("attempt %d is %v", i, verdict)
		}
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	return took, nil
}

// measureStore returns the memory that a kept origin takes, in bytes.
func measureStore(record origin.Record) float64 {
	const count = 50_000
	var before, after runtime.MemStats
	store := &origin.Store{}
	now := clock.Now()
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range count {
		store.Put(now, fmt.Sprintf("%016x", i), origin.Record{Service: string([]byte(record.Service)), Version: string([]byte(record.Version))})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(store)
	return float64(after.HeapAlloc-before.HeapAlloc) / count
}
