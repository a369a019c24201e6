package origin

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const testKey = "key"

// testVM is a VM of a test with its socket.
type testVM struct {
	*Exchange
	key      string
	accepted []string
	keepers  []Keeper
}

// startVMs starts VMs that know each other as keepers, after adjust has changed them.
func startVMs(t *testing.T, count int, adjust ...func(i int, v *testVM)) []*testVM {
	t.Helper()
	var vms []*testVM
	var all []Keeper
	for range count {
		v := &testVM{key: testKey, accepted: []string{testKey}}
		v.Exchange = &Exchange{
			Address: "127.0.0.1:0", Domain: "d", Keepers: func(time.Time) []Keeper { return v.keepers }, Key: func() string { return v.key },
			AcceptedKeys: func() []string { return v.accepted }, Now: clock.Now, Log: zerolog.Nop(), Meter: meter.New(),
		}
		require.NoError(t, v.Listen())
		t.Cleanup(v.Close)
		v.Address = v.conn.LocalAddr().String()
		all = append(all, Keeper{v.Address, "d"})
		vms = append(vms, v)
	}
	for i, v := range vms {
		v.keepers = all
		for _, change := range adjust {
			change(i, v)
		}
		go v.Serve()
	}
	return vms
}

// awaitKept waits until VMs keep so many origins each.
func awaitKept(t *testing.T, count int, vms ...*testVM) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, v := range vms {
			if v.Kept() < count {
				return false
			}
		}
		return true
	}, time.Minute, time.Millisecond)
}

// Guards against a stream that can not be taken up: the VM that began it has ended, or it is asked itself.
func TestOriginOutlivesItsVM(t *testing.T) {
	vms := startVMs(t, 4)
	vms[0].Tell("a1", Record{"s", "v1"})
	awaitKept(t, 1, vms...)
	_, verdict := vms[0].Ask(t.Context(), "a1")
	require.Equal(t, Known, verdict)
	vms[0].Close()
	for _, v := range vms[1:] {
		r, verdict := v.Ask(t.Context(), "a1")
		require.Equal(t, Known, verdict)
		require.Equal(t, Record{"s", "v1"}, r)
	}
}

// Guards against a caller that waits for nothing, and against a guess: all keepers say that they do not know the
// attempt, or some say nothing.
func TestUnknownAttempt(t *testing.T) {
	vms := startVMs(t, 4)
	_, verdict := vms[1].Ask(t.Context(), "nobody's")
	require.Equal(t, Unknown, verdict)
	vms[2].Close()
	_, verdict = vms[1].Ask(t.Context(), "nobody's")
	require.Equal(t, Unanswered, verdict)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, verdict = vms[1].Ask(ctx, "nobody's")
	require.Equal(t, Unanswered, verdict)
	alone := startVMs(t, 1)[0]
	_, verdict = alone.Ask(t.Context(), "nobody's")
	require.Equal(t, Unanswered, verdict, "a VM that knows no keepers has asked nobody")
}

// Guards against a stream that is refused though a keeper knows where it began: the keeper answers late, as its link is slow
// or it stood still.
func TestLateAnswerOfKeeperIsHeard(t *testing.T) {
	vms := startVMs(t, 1)
	late := &Exchange{
		Address: "127.0.0.1:0", Domain: "d", Keepers: func(time.Time) []Keeper { return nil }, Key: func() string { return testKey },
		AcceptedKeys: func() []string { return []string{testKey} }, Now: clock.Now, Log: zerolog.Nop(), Meter: meter.New(),
	}
	require.NoError(t, late.Listen())
	t.Cleanup(late.Close)
	late.store.Put(clock.Now(), "a1", Record{"s", "v1"})
	vms[0].keepers = []Keeper{{late.Address, "d"}}
	time.AfterFunc(700*time.Millisecond, late.Serve)
	r, verdict := vms[0].Ask(t.Context(), "a1")
	require.Equal(t, Known, verdict)
	require.Equal(t, Record{"s", "v1"}, r)
}

// Guards against a datagram of somebody without the fleet's key that sends streams to the wrong version, and against
// VMs that do not understand each other while a new controller's key spreads, or does not reach a VM that is cut off from
// the store.
func TestKeysOfDatagrams(t *testing.T) {
	tests := map[string]struct {
		key      string
		accepted []string
		want     Verdict
	}{
		"forged":              {"wrong", []string{"wrong", testKey}, Unanswered},
		"previous key":        {"previous", []string{"previous", testKey}, Known},
		"previous key alone":  {"previous", []string{"previous"}, Known},
		"no key is known yet": {"", []string{"", testKey}, Unanswered},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vms := startVMs(t, 2, func(i int, v *testVM) {
				if v.accepted = []string{testKey, "previous"}; i == 0 {
					v.key, v.accepted = tc.key, tc.accepted
				}
			})
			vms[1].store.Put(clock.Now(), "a1", Record{"s", "v1"})
			_, verdict := vms[0].Ask(t.Context(), "a1")
			require.Equal(t, tc.want, verdict)
		})
	}
}

// Guards against the answer to a question that an earlier process of this VM asked under the same number.
func TestLateAnswer(t *testing.T) {
	vms := startVMs(t, 2)
	call, answers := vms[0].addQuestion("a2", 1)
	late := &wire.OriginDatagram{Kind: wire.OriginDatagramKindAnswer, Attempt: "a1", Call: call, Known: true, Service: "s", Version: "v1"}
	vms[0].handle(&net.UDPAddr{}, late, testKey)
	require.Empty(t, answers)
	late.Attempt = "a2"
	vms[0].handle(&net.UDPAddr{}, late, testKey)
	require.Len(t, answers, 1)
}

// Guards against a VM that ends by what anybody sends to its socket.
func FuzzOpen(f *testing.F) {
	sealed, err := seal(testKey, &wire.OriginDatagram{Kind: wire.OriginDatagramKindTell, Attempt: "a1", Service: "s", Version: "v1"})
	require.NoError(f, err)
	f.Add(sealed[macBytes:])
	f.Add([]byte{0x86})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, _, err := open([]string{testKey}, append(proof(testKey, data), data...))
		require.True(t, (frame == nil) == (err != nil))
	})
}
