package main

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

var profileCommand = command{
	name: "profile", args: "apply|get|list|retire|status -settings FILE [FLAGS] [ARGUMENTS]",
	summary: "create, change, inspect and retire profiles",
	examples: []string{
		"profile apply -settings sample/vadodara.ini sample/vadodara/label-issue.json",
		"profile apply -settings sample/vadodara.ini -if-version 12 label-issue.json",
		"profile get -settings sample/vadodara.ini label-issue",
		"profile list -settings sample/vadodara.ini",
		"profile retire -settings sample/vadodara.ini label-issue",
		"profile status -settings sample/vadodara.ini -wait 10s label-issue",
	},
	run: runProfile,
}

var fleetCommand = command{
	name: "fleet", args: "-settings FILE [-vm NAME]",
	summary:  "show the VMs and backend servers as observed by one VM",
	examples: []string{"fleet -settings sample/vadodara.ini -vm alkapuri-1"},
	run:      runFleet,
}

const operatorTimeout = 30 * time.Second

// operatorCommand holds the flags and settings that the operators' commands share.
type operatorCommand struct {
	settings     *conf.Settings
	tls          *tls.Config
	settingsFile string
	vmName       string
	ifVersion    int
	wait         time.Duration
}

func (o *operatorCommand) registerFlags(fs *flag.FlagSet) {
	fs.StringVar(&o.settingsFile, "settings", "", "settings `FILE`")
	fs.StringVar(&o.vmName, "vm", "", "`NAME` of the VM to query; by default the first that responds")
	fs.IntVar(&o.ifVersion, "if-version", -1, "apply only if this `VERSION` of the profile is current; 0 for a new profile")
	fs.DurationVar(&o.wait, "wait", 0, "for status: how long to wait until the latest version is active on every live VM")
}

func (o *operatorCommand) loadSettings() error {
	if o.settingsFile == "" {
		return usageErrorf("-settings is required")
	}
	settings, err := conf.Load(o.settingsFile)
	if err != nil {
		return err
	}
	o.settings = settings
	o.tls, err = entry.LoadTLS(settings)
	return err
}

func (o *operatorCommand) newOperator() *profs.Operator {
	c := store.New("http://"+o.settings.Text("platform", "address"), o.settings.Text("platform", "key"), "operator")
	operator := profs.NewOperator(c)
	operator.CheckCapacity = profs.CapacityCheck(c.List)
	return operator
}

func runProfile(ctx context.Context, fs *flag.FlagSet, args []string) error {
	o := &operatorCommand{}
	o.registerFlags(fs)
	if len(args) == 0 {
		return usageErrorf("one of apply, get, list, retire, status is required")
	}
	action := args[0]
	if action == "-h" || action == "--help" {
		return flag.ErrHelp
	}
	if err := parseFlags(fs, args[1:]); err != nil {
		return err
	}
	actions := map[string]func(context.Context, []string) error{
		"apply": o.apply, "get": o.get, "list": o.list, "retire": o.retire, "status": o.status,
	}
	runAction, ok := actions[action]
	if !ok {
		return usageErrorf("%q is not one of apply, get, list, retire, status", action)
	}
	if err := o.loadSettings(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout+o.wait)
	defer cancel()
	return runAction(ctx, fs.Args())
}

func singleArgument(args []string, kind string) (string, error) {
	if len(args) != 1 {
		return "", usageErrorf("exactly one %s is required", kind)
	}
	return args[0], nil
}

func (o *operatorCommand) apply(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return usageErrorf("at least one profile document is required")
	}
	if len(args) > 1 && o.ifVersion >= 0 {
		return usageErrorf("-if-version requires exactly one document")
	}
	for _, file := range args {
		if err := o.applyFile(ctx, file); err != nil {
			return err
		}
	}
	return nil
}

func (o *operatorCommand) applyFile(ctx context.Context, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read profile document: %w", err)
	}
	doc, err := profs.Parse(data)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	version, err := o.newOperator().Apply(ctx, doc, o.ifVersion)
	if err != nil {
		return err
	}
	fmt.Printf("%s accepted at version %d\n", doc.Name, version)
	return nil
}

func (o *operatorCommand) get(ctx context.Context, args []string) error {
	name, err := singleArgument(args, "profile")
	if err != nil {
		return err
	}
	doc, version, err := o.newOperator().Lookup(ctx, name)
	if err != nil {
		return err
	}
	if version == 0 {
		return fmt.Errorf("profile %s not found", name)
	}
	text, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return fmt.Errorf("encode profile: %w", err)
	}
	fmt.Fprintf(os.Stderr, "version %d\n", version)
	fmt.Println(string(text))
	return nil
}

func (o *operatorCommand) list(ctx context.Context, _ []string) error {
	list, err := o.newOperator().List(ctx, profs.ObjectKind)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "profile\tversion\tback end\tmodels\tstate")
	for _, obj := range list.Items {
		doc, err := profs.Parse(obj.Value)
		state := "in force"
		switch {
		case err != nil:
			state = "not valid"
		case doc.Retired:
			state = "retired"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%s\n", obj.Name, obj.Version, doc.Backend, len(doc.Models), state)
	}
	return t.Flush()
}

func (o *operatorCommand) retire(ctx context.Context, args []string) error {
	name, err := singleArgument(args, "profile")
	if err != nil {
		return err
	}
	version, err := o.newOperator().Retire(ctx, name)
	if err != nil {
		return err
	}
	fmt.Printf("%s retired at version %d\n", name, version)
	return nil
}

// status prints the active version of a profile on each VM.
func (o *operatorCommand) status(ctx context.Context, args []string) error {
	name, err := singleArgument(args, "profile")
	if err != nil {
		return err
	}
	_, latest, err := o.newOperator().Lookup(ctx, name)
	if err != nil {
		return err
	}
	if latest == 0 {
		return fmt.Errorf("profile %s not found", name)
	}
	deadline := time.Now().Add(o.wait)
	for {
		vms, err := o.vmVersions(ctx, name)
		if err != nil {
			return err
		}
		outdated := countOutdated(vms, latest)
		if outdated == 0 || time.Now().After(deadline) {
			if err := printVersions(vms, name, latest); err != nil {
				return err
			}
			if outdated > 0 && o.wait > 0 {
				return fmt.Errorf("version %d of %s is not in force at %d VMs after %v", latest, name, outdated, o.wait)
			}
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// vmVersion is the active version of a profile on one VM.
type vmVersion struct {
	wire.NodeStatus
	version int
}

// vmVersions queries one VM for the list of VMs, then each VM for its active
// version of the profile.
func (o *operatorCommand) vmVersions(ctx context.Context, name string) ([]vmVersion, error) {
	reply, err := o.queryFleet(ctx, false)
	if err != nil {
		return nil, err
	}
	vms := make([]vmVersion, len(reply.Nodes))
	var group sync.WaitGroup
	for i, n := range reply.Nodes {
		vms[i] = vmVersion{NodeStatus: n}
		if n.State == wire.NodeStatusStateUnknown {
			continue
		}
		group.Go(func() {
			vmReply, err := queryVM(ctx, o.dialer(), n.PeerAddress, false)
			if err != nil {
				vms[i].State = wire.NodeStatusStateUnknown
				return
			}
			vms[i].version = activeVersion(vmReply, n.Node, name)
		})
	}
	group.Wait()
	return vms, nil
}

func activeVersion(reply *wire.FleetReply, vm, name string) int {
	for _, n := range reply.Nodes {
		for _, v := range n.Versions {
			if n.Node == vm && v.Name == profs.ObjectKind+"/"+name {
				return v.Version
			}
		}
	}
	return 0
}

// countOutdated counts the live VMs on which the latest version is not active.
func countOutdated(vms []vmVersion, latest int) int {
	outdated := 0
	for _, n := range vms {
		if n.State == wire.NodeStatusStateLive && n.version < latest {
			outdated++
		}
	}
	return outdated
}

func printVersions(vms []vmVersion, name string, latest int) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "VM\tfailure domain\tstate\tversion of %s (newest %d)\n", name, latest)
	for _, n := range vms {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\n", n.Node, n.FailureDomain, n.State, n.version)
	}
	return t.Flush()
}

func (o *operatorCommand) dialer() *link.Dialer {
	return &link.Dialer{
		TLS: o.tls, Key: o.settings.Text("peers", "operator_key"),
		Hello: func() wire.Hello { return wire.Hello{Protocol: link.Protocol, Node: "operator"} },
	}
}

// queryFleet returns the state of the fleet as observed by the selected VM, or by
// the first VM that responds.
func (o *operatorCommand) queryFleet(ctx context.Context, servers bool) (*wire.FleetReply, error) {
	dialer := o.dialer()
	var lastErr error
	for _, vm := range o.settings.VMs() {
		if o.vmName != "" && vm.Name() != o.vmName {
			continue
		}
		reply, err := queryVM(ctx, dialer, vm.PeerListen(), servers)
		if err == nil {
			return reply, nil
		}
		lastErr = fmt.Errorf("query %s: %w", vm.Name(), err)
	}
	if lastErr == nil {
		return nil, fmt.Errorf("no VM %q in the settings", o.vmName)
	}
	return nil, lastErr
}

func queryVM(ctx context.Context, dialer *link.Dialer, address string, servers bool) (*wire.FleetReply, error) {
	conn, err := dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.Send(ctx, &wire.Message{FleetQuery: &wire.FleetQuery{Servers: servers}}); err != nil {
		return nil, err
	}
	for {
		m, err := conn.Receive(ctx)
		if err != nil {
			return nil, err
		}
		if m.FleetReply != nil {
			return m.FleetReply, nil
		}
	}
}

func runFleet(ctx context.Context, fs *flag.FlagSet, args []string) error {
	o := &operatorCommand{}
	fs.StringVar(&o.settingsFile, "settings", "", "settings `FILE`")
	fs.StringVar(&o.vmName, "vm", "", "`NAME` of the VM to query; by default the first that responds")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if err := rejectArguments(fs); err != nil {
		return err
	}
	if err := o.loadSettings(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	reply, err := o.queryFleet(ctx, true)
	if err != nil {
		return err
	}
	fmt.Println("as seen by", reply.Node)
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tfailure domain\tstate\taddress")
	for _, n := range reply.Nodes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", n.Node, n.FailureDomain, n.State, n.PeerAddress)
	}
	fmt.Fprintln(t, "\nserver\tfailure domain\tstate\trunning\tqueued\tmodels and adapters")
	for _, s := range reply.Servers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\n", s.Server, s.FailureDomain, s.State, s.Running, s.Queued, len(s.Models))
	}
	return t.Flush()
}
