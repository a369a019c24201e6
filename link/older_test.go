package link

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/ugorji/go/codec"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// olderFrame is a frame as builds without the last fields of its object encode it.
type olderFrame struct {
	older string
	// message is what it means. extend sets the fields that were added since; the frame is then newer.
	message wire.Message
	extend  func(m *wire.Message)
	newer   string
}

func olderFrames() map[string]olderFrame {
	report := wire.VMReport{Vms: 2, Doubts: []string{"a"}, Wants: []wire.ModelWant{{Model: "m", Requests: 3}}}
	loadReport := report
	loadReport.Loads = []wire.ServerLoad{{Server: "s", Running: 1, ReadingUs: 5, Tokens: 7}}
	hello := wire.Hello{Protocol: 5, Node: "n", FailureDomain: "d", Boot: "b", Address: "a", Millicores: 400, Relaying: true}
	proxyHello := hello
	proxyHello.ServesAsProxy = true
	servers := wire.FleetState{Vms: 3, Servers: []wire.ServerState{{Server: "s", Name: "n", Service: "v", Address: "a", Domain: "d", Slots: 8, Models: []wire.HeldModel{{Name: "m", Adapters: []string{}}}}}}
	state := wire.FleetState{Vms: 3, Full: true, AgeMs: 7, TightTeams: []string{"t"}}
	parts := state
	parts.Lease.ZzAllotmentVms = 9
	parts.ZzzSuspectParts = []wire.SuspectPart{{Part: "p", Crashes: 4, LeftMs: 7}}
	keepers := state
	keepers.ZStreamKeepers = []wire.OriginKeeper{{Address: "a", Domain: "d"}}
	return map[string]olderFrame{
		"report": {
			older:   "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6608af6f6816161f6f6f6f4f602818560616d036000",
			message: wire.Message{VMReport: &report},
			extend:  func(m *wire.Message) { m.VMReport.WillExit, m.VMReport.WithoutPath = []string{"s"}, true },
			newer:   "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f66094f6f6816161f6f6f6f4f602818560616d036000816173f5f4f6f6f6f6f6f6f6",
		},
		"report of a later build": {
			older:   "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6608bf6f6816161f6f6f6f4f602818560616d036000f6",
			message: wire.Message{VMReport: &report},
			extend:  func(m *wire.Message) { m.VMReport.WithoutPathBelow = true },
			newer:   "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f66094f6f6816161f6f6f6f4f602818560616d036000f6f4f5f6f6f6f6f6f6f6",
		},
		"report without the VMs below": {
			older:   "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6608ef6f6816161f6f6f6f4f602818560616d036000f6f4f4f6",
			message: wire.Message{VMReport: &report},
			extend:  func(m *wire.Message) { m.VMReport.WithoutPath, m.VMReport.ZVmsWithPath = true, []string{"p"} },
			newer:   "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f66094f6f6816161f6f6f6f4f602818560616d036000f6f5f4f6816170f6f6f6f6f6",
		},
		"server state": {
			older:   "94f6f6f6f6f6f6f69100f4f4008960f660006060f6000000f6f600f4f6818d616100006164f4f400818280616d616e6173617608f4f6f603f6f6f6f6f6f6f6f6f6f6f6f660f6",
			message: wire.Message{FleetState: &servers},
			extend:  func(m *wire.Message) { m.FleetState.Servers[0].Version = "v" },
			newer:   "94f6f6f6f6f6f6f69600f4f4009160f660006060f60000f600f600f600000000f6f600f4f6818e616100006164f4f400818280616d616e6173617608f46176f6f603f6f6f6f600f600f6f6f6f6f6f6f6f6f6f660f6",
		},
		"permit call without a place": {
			older:   "94f6f6f6f6f6f6f6f6f6f6f682016173f6f6f6f6f6f6f6f660f6",
			message: wire.Message{PermitCall: &wire.PermitCall{Call: 1, Server: "s"}},
			extend: func(m *wire.Message) {
				m.PermitCall.ZzEnded = []wire.PlaceEnd{{Place: 9, TookUs: 5}}
				m.PermitCall.ZzPlace = &wire.PlaceCall{Service: "v", Key: 3, Priority: 1, ObjectiveUs: 300, RemainingUs: 200}
			},
			newer: "94f6f6f6f6f6f6f6f6f6f6f68501617381820905860319012c0118c86176f6f4f6f6f6f6f6f660f6",
		},
		"permit reply without a place": {
			older:   "94f6f6f6f6f6f6f6f6f6f6f6f6820107f6f6f6f6f660f6",
			message: wire.Message{PermitReply: &wire.PermitReply{Call: 1, WaitUs: 7}},
			extend:  func(m *wire.Message) { m.PermitReply.ZzPlace = &wire.PlaceReply{Place: 9, Server: "s"} },
			newer:   "94f6f6f6f6f6f6f6f6f6f6f6f68401078309f46173f6f6f6f6f6f660f6",
		},
		"permit call without a question for the list of servers": {
			older:   "94f6f6f6f6f6f6f6f6f6f6f68401617381820905860319012c0118c86176f6f6f6f6f6f6f660f6",
			message: wire.Message{PermitCall: &wire.PermitCall{Call: 1, Server: "s", ZzEnded: []wire.PlaceEnd{{Place: 9, TookUs: 5}}, ZzPlace: &wire.PlaceCall{Service: "v", Key: 3, Priority: 1, ObjectiveUs: 300, RemainingUs: 200}}},
			extend:  func(m *wire.Message) { m.PermitCall.ZzzServers = true },
			newer:   "94f6f6f6f6f6f6f6f6f6f6f68501617381820905860319012c0118c86176f6f5f6f6f6f6f6f660f6",
		},
		"permit reply without the list of servers": {
			older:   "94f6f6f6f6f6f6f6f6f6f6f6f68301078309f46173f6f6f6f6f660f6",
			message: wire.Message{PermitReply: &wire.PermitReply{Call: 1, WaitUs: 7, ZzPlace: &wire.PlaceReply{Place: 9, Server: "s"}}},
			extend: func(m *wire.Message) {
				m.PermitReply.ZzzServers = &wire.ServersReply{Revision: 5, History: wire.VersionHistory{AsOfMs: 2, CompleteMs: 3, Gone: []wire.GoneVersion{}}}
			},
			newer: "94f6f6f6f6f6f6f6f6f6f6f6f68401078309f461738284020380f605f6f6f6f6f660f6",
		},
		"fleet state without the revision of the servers": {
			older:   "94f6f6f6f6f6f6f69507f5f4009160f660006060f60000f600f600f600000000f6f600f4f6f6f681617403f6f6818261616164f600f6f6f6f6f6f6f6f6f6f6f660f6",
			message: wire.Message{FleetState: &keepers},
			extend:  func(m *wire.Message) { m.FleetState.ZzzzzzServerRevision = 6 },
			newer:   "94f6f6f6f6f6f6f69607f5f4009160f660006060f60000f600f600f600000000f6f600f4f6f6f681617403f6f6818261616164f600f606f6f6f6f6f6f6f6f6f6f660f6",
		},
		"find call": {
			older:   "94f6f6f684616101616d6173f6f6f6f6f6f6f6f6f6f6f6f6f6f660f6",
			message: wire.Message{FindCall: &wire.FindCall{Call: 1, Service: "s", Model: "m", Adapter: "a"}},
			extend:  func(m *wire.Message) { m.FindCall.Version = "v" },
			newer:   "94f6f6f685616101616d61736176f6f6f6f6f6f6f6f6f6f6f6f6f6f660f6",
		},
		"hello of a build that keeps no origins": {
			older:   "94f6f6f6f6f6f6f6f6f688616161626164190190616e05f5f5f6f6f6f6f6f6f6f660f6",
			message: wire.Message{Hello: &proxyHello},
			extend:  func(m *wire.Message) { m.Hello.ZKeepsOrigins = true },
			newer:   "94f6f6f6f6f6f6f6f6f689616161626164190190616e05f5f5f5f6f6f6f6f6f6f6f660f6",
		},
		"fleet state without keepers": {
			older:   "94f6f6f6f6f6f6f69107f5f4008960f660006060f6000000f6f600f4f6f6f681617403f6f6f6f6f6f6f6f6f6f6f6f660f6",
			message: wire.Message{FleetState: &state},
			extend: func(m *wire.Message) {
				m.FleetState.ZStreamKeepers = []wire.OriginKeeper{{Address: "a", Domain: "d"}}
			},
			newer: "94f6f6f6f6f6f6f69607f5f4009160f660006060f60000f600f600f600000000f6f600f4f6f6f681617403f6f6818261616164f600f600f6f6f6f6f6f6f6f6f6f660f6",
		},
		"report without paces of servers": {
			older:   "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f66093f6f6816161f6f6f6f4f602818560616d036000f6f4f4f6f6f6f6f6f6",
			message: wire.Message{VMReport: &report},
			extend: func(m *wire.Message) {
				m.VMReport.ZzzzzPaceSamples = []wire.PaceSamples{{Server: "s", Readings: 2, ReadingPct: 4, Responses: 1, ResponsePct: 3}}
			},
			newer: "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f66094f6f6816161f6f6f6f4f602818560616d036000f6f4f4f6f6f6f6f6f68185040203016173",
		},
		"fleet state without paces of servers": {
			older:   "94f6f6f6f6f6f6f69407f5f4009160f660006060f60000f609f600f600000000f6f600f4f6f6f681617403f6f6f6818404076170f600f6f6f6f6f6f6f6f6f6f660f6",
			message: wire.Message{FleetState: &parts},
			extend: func(m *wire.Message) {
				m.FleetState.ZzzzzServerPaces = []wire.ServerPace{{Server: "s", PacePct: 55}}
			},
			newer: "94f6f6f6f6f6f6f69607f5f4009160f660006060f60000f609f600f600000000f6f600f4f6f6f681617403f6f6f6818404076170f60081821837617300f6f6f6f6f6f6f6f6f6f660f6",
		},
		"load without its parts by priority": {
			older:   "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f66093f6f6816161f6f68185f60501617307f4f602818560616d036000f6f4f4f6f6f6f6f6f6",
			message: wire.Message{VMReport: &loadReport},
			extend:  func(m *wire.Message) { m.VMReport.Loads[0].ZzPrefillUs = []int{0, 5} },
			newer:   "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f66094f6f6816161f6f68186f60501617307820005f4f602818560616d036000f6f4f4f6f6f6f6f6f6f6",
		},
		"report without keepers": {
			older:   "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6608ff6f6816161f6f6f6f4f602818560616d036000f6f4f4f6f6",
			message: wire.Message{VMReport: &report},
			extend: func(m *wire.Message) {
				m.VMReport.ZzStreamKeepers = []wire.OriginKeeper{{Address: "a", Domain: "d"}}
			},
			newer: "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f66094f6f6816161f6f6f6f4f602818560616d036000f6f4f4f6f6818261616164f6f6f6f6",
		},
		"report without parts of prompts": {
			older:   "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f66090f6f6816161f6f6f6f4f602818560616d036000f6f4f4f6f6f6",
			message: wire.Message{VMReport: &report},
			extend: func(m *wire.Message) {
				m.VMReport.ZzzPartCrashes = []wire.PartCrash{{Server: "s", Parts: []string{"f", "l"}, Depths: []int{0, 1}}}
				m.VMReport.ZzzPartsSurvived = []string{"p"}
			},
			newer: "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f66094f6f6816161f6f6f6f4f602818560616d036000f6f4f4f6f6f68183820001826166616c6173816170f6f6",
		},
		"fleet state without allotments and parts of prompts": {
			older:   "94f6f6f6f6f6f6f69207f5f4008a60f660006060f60000f600f6f600f4f6f6f681617403f6f6f6f6f6f6f6f6f6f6f6f6f660f6",
			message: wire.Message{FleetState: &state},
			extend: func(m *wire.Message) {
				m.FleetState.Lease.ZzAllotmentVms = 9
				m.FleetState.ZzzSuspectParts = []wire.SuspectPart{{Part: "p", Crashes: 4, LeftMs: 7}}
			},
			newer: "94f6f6f6f6f6f6f69607f5f4009160f660006060f60000f609f600f600000000f6f600f4f6f6f681617403f6f6f6818404076170f600f600f6f6f6f6f6f6f6f6f6f660f6",
		},
		"fleet state without the era of the lease": {
			older:   "94f6f6f6f6f6f6f69307f5f4008e60f660006060f60000f609f600f600f6f600f4f6f6f681617403f6f6f6818304076170f6f6f6f6f6f6f6f6f6f660f6",
			message: wire.Message{FleetState: &parts},
			extend:  func(m *wire.Message) { m.FleetState.Lease.ZzzzEra, m.FleetState.ZzzzLeaseEra = 2, 3 },
			newer:   "94f6f6f6f6f6f6f69607f5f4009160f660006060f60000f609f600f602000000f6f600f4f6f6f681617403f6f6f6818404076170f603f600f6f6f6f6f6f6f6f6f6f660f6",
		},
		"fleet state without ties": {
			older:   "94f6f6f6f6f6f6f69407f5f4009160f660006060f60000f609f600f600000000f6f600f4f6f6f681617403f6f6f681830407617000f6f6f6f6f6f6f6f6f6f660f6",
			message: wire.Message{FleetState: &parts},
			extend:  func(m *wire.Message) { m.FleetState.ZzzSuspectParts[0].Tied = []string{"p", "q"} },
			newer:   "94f6f6f6f6f6f6f69607f5f4009160f660006060f60000f609f600f600000000f6f600f4f6f6f681617403f6f6f6818404076170826170617100f600f6f6f6f6f6f6f6f6f6f660f6",
		},
		"report without parts that are blocked by themselves": {
			older:   "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f66092f6f6816161f6f6f6f4f602818560616d036000f6f4f4f6f6f6f6f6",
			message: wire.Message{VMReport: &report},
			extend:  func(m *wire.Message) { m.VMReport.ZzzzPartsAlone = []string{"p"} },
			newer:   "94f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f66094f6f6816161f6f6f6f4f602818560616d036000f6f4f4f6f6f6f6f6816170f6",
		},
		"hello": {
			older:   "94f6f6f6f6f6f6f6f6f687616161626164190190616e05f5f6f6f6f6f6f6f6f660f6",
			message: wire.Message{Hello: &hello},
			extend:  func(m *wire.Message) { m.Hello.ServesAsProxy = true },
			newer:   "94f6f6f6f6f6f6f6f6f689616161626164190190616e05f5f5f4f6f6f6f6f6f6f6f660f6",
		},
		"fleet state": {
			older:   "94f6f6f6f6f6f6f68f07f5f4008960f660006060f6000000f6f600f4f6f6f681617403f6f6f6f6f6f6f6f6f6f660f6",
			message: wire.Message{FleetState: &state},
			extend: func(m *wire.Message) {
				m.FleetState.VmsWithPath = []string{"p"}
				m.FleetState.ZRejectLimits = []wire.RejectLimit{{Server: "z", PerSecond: 2, Rejected: true}}
			},
			newer: "94f6f6f6f6f6f6f69607f5f4009160f660006060f60000f600f600f600000000f6f600f4f6f6f6816174038161708183fb4000000000000000f5617af6f600f600f6f6f6f6f6f6f6f6f6f660f6",
		},
	}
}

// Guards against frames that older VMs can not read, or whose fields they take for others: frames carry no
// names, and the hub closes the link of a VM whose frame it can not read.
func TestFramesBesideOlderBuilds(t *testing.T) {
	for name, f := range olderFrames() {
		t.Run(name, func(t *testing.T) {
			data, err := hex.DecodeString(f.older)
			require.NoError(t, err)
			m, err := Decode(data)
			require.NoError(t, err)
			require.Equal(t, &f.message, m)
			f.extend(m)
			sent, err := Encode(m)
			require.NoError(t, err)
			require.Equal(t, f.newer, hex.EncodeToString(sent))
		})
	}
}

// Guards against a codec that does not skip what is behind the fields that a build knows.
func TestUnknownFieldsSkipped(t *testing.T) {
	var older struct{ First, Second []string }
	longer := []byte{0x84, 0x81, 0x61, 'a', 0x81, 0x61, 'b', 0x81, 0x61, 'c', 0xf5}
	require.NoError(t, codec.NewDecoderBytes(longer, cborHandle).Decode(&older))
	require.Equal(t, []string{"b"}, older.Second)
}

// Guards against a call for a place that takes 100 bytes or more, with long numbers and one end.
func TestPlaceCallSize(t *testing.T) {
	data, err := Encode(&wire.Message{PermitCall: &wire.PermitCall{
		Call: 1 << 20, ZzEnded: []wire.PlaceEnd{{Place: 1 << 31, TookUs: 60_000}},
		ZzPlace: &wire.PlaceCall{Service: "plain-service-name", Key: 1 << 53, Priority: 1, ObjectiveUs: 300_000, RemainingUs: 200_000},
	}})
	require.NoError(t, err)
	require.Less(t, len(data), 100)
}
