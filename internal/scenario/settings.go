package scenario

import (
	"bytes"
	"fmt"
	"strings"
)

// Entries of settings files that are the same in every scenario.
const (
	linkEntries   = ":beat 0.1 :silence 1.0 :lease 1.0"
	boundsEntries = " :clients {:connections 4096 :head-bytes 16384 :body-bytes 1048576 :read-time 5.0 :idle-time 60.0 :drain-time 10.0}\n" +
		" :units {:connections 64 :dial-time 0.25 :idle-time 15.0 :answer-bytes 1048576}\n"
)

// processAddresses are the addresses in the settings of one process: its admin address (HOST:PORT), the link between
// routers and controller, and the server of the endpoint list and the release service.
type processAddresses struct {
	admin, link, services string
}

// routerFile returns the settings file of a router.
func (s *Script) routerFile(relay, name, listen, stateDir string, addresses processAddresses) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "{:relay %q :edge %q :listen %q :admin %q :state-dir %q :log {:format :text :level :info}\n",
		relay, name, listen, addresses.admin, stateDir)
	if s.Routers > 0 {
		fmt.Fprintf(&b, " :share-port true :planner {:address %q %s}\n", addresses.link, linkEntries)
	} else {
		b.WriteString(s.sourcesEntry(relay, addresses.services))
		b.WriteString(s.controlEntry(relay))
	}
	b.WriteString(" :schema 1" + boundsEntries)
	b.Write(s.policyEntries())
	b.WriteString(s.routesEntry() + "}\n")
	return b.Bytes()
}

// controllerFile returns the settings file of a controller.
func (s *Script) controllerFile(relay, stateDir string, addresses processAddresses) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "{:relay %q :admin %q :state-dir %q :log {:format :text :level :info}\n%s :link {:address %q %s}\n",
		relay, addresses.admin, stateDir, s.sourcesEntry(relay, addresses.services), addresses.link, linkEntries)
	b.WriteString(s.controlEntry(relay))
	b.WriteString(s.healthEntry())
	b.Write(s.policyEntries())
	b.WriteString("}\n")
	return b.Bytes()
}

// controlEntry returns the entry for a relay's control service, or an empty string if the relay has none.
func (s *Script) controlEntry(relay string) string {
	if s.controlAddresses[relay] == "" {
		return ""
	}
	return fmt.Sprintf(" :control {:addresses [%q] :silence 2.0 :back-least 0.05 :back-most 0.5 :patience 1.0 :most-bytes 4000000}\n",
		s.controlAddresses[relay])
}

// sourcesEntry returns the entry for the release service. It includes the endpoint list unless a control service sends
// that list.
func (s *Script) sourcesEntry(relay, services string) string {
	list := ""
	if s.controlAddresses[relay] == "" {
		list = fmt.Sprintf(":list \"http://%s/%s/list\"", services, relay)
	}
	return fmt.Sprintf(" :sources {%s :installer \"http://%s/%s\" :silence 5.0 :back-least 0.05 :back-most 1.0}\n", list, services, relay)
}

// routesEntry returns the entry that maps a path to each request class.
func (s *Script) routesEntry() string {
	var b strings.Builder
	b.WriteString(" :routes [")
	for _, class := range s.Classes {
		fmt.Fprintf(&b, "{:method %q :path \"/%s/\" :op-type %q}\n", class.method(), class.Name, class.Name)
	}
	b.WriteString("]")
	return b.String()
}

// policyEntries returns the entries that a router and its controller have in common.
func (s *Script) policyEntries() []byte {
	var b bytes.Buffer
	rules, release := s.Rules, s.Release
	fmt.Fprintf(&b, " :rules {:relays %d :round %g :deliveries %d :parallel %t :max-pause %g :cold-from %g :warm-up %g :fall-multiple %g"+
		" :fall-time %g :window %g :grace %g :free %g :count-per-op-type %t :guarded-stages %d :one-way-keys %t :keys-kept %d :forget-units %g}\n",
		rules.RouterGroups, rules.TimerResolutionSeconds, rules.MaxAttempts, rules.AllowHedging,
		rules.MaxRetryAfterSeconds, rules.SlowStartInitialShare, rules.SlowStartSeconds, rules.SlowStartOverloadFactor,
		rules.SlowStartOverloadSeconds, rules.CanaryWindowSeconds, rules.GraceSeconds, rules.CanaryFreeAttempts,
		rules.CanaryLimitPerClass, rules.IdempotentOnlyStages, rules.OneWayKeys, rules.MaxRememberedKeys,
		rules.ForgetEndpointSeconds)
	fmt.Fprintf(&b, " :release {:stages %v :caps %v :back-votes %d :by-clock %t :replace %t :harm-price %g :stale-price %g :report-share %g"+
		" :vote-life %g :vote-timeout %g :votes-a-second %g}\n",
		release.StageShares, release.CanaryLimits, release.RollbackVotes, release.AutomaticStages,
		release.ReplaceInPlace, release.WrongAnswerPrice, release.StaleBuildPrice, release.WrongAnswerReportShare,
		release.VoteLifetimeSeconds, release.VoteTimeoutSeconds, release.VotesPerSecond)
	b.WriteString(" :op-types [")
	for _, class := range s.Classes {
		fmt.Fprintf(&b, "{:name %q :target %g :timeout %g :importance %g :effect :%s :window %g",
			class.Name, class.LatencyObjectiveSeconds, class.TimeoutSeconds, class.PriorityWeight,
			string(class.Idempotency), class.DedupWindowSeconds)
		if class.DedupScope != "" {
			fmt.Fprintf(&b, " :group :%s", string(class.DedupScope))
		}
		b.WriteString("}\n")
	}
	b.WriteString("]\n")
	return b.Bytes()
}

// healthEntry returns a controller's queries to the query servers, or an empty string if there are no query servers.
func (s *Script) healthEntry() string {
	if len(s.queryServerURLs) == 0 {
		return ""
	}
	var b strings.Builder
	b.WriteString(" :health {:servers [")
	for i, url := range s.queryServerURLs {
		fmt.Fprintf(&b, "{:name \"q%d\" :url %q}", i+1, url)
	}
	b.WriteString("] :queries-a-second 40 :at-once 8 :timeout 0.5 :back-most 2.0 :answer-bytes 2000000 :series 2000 :skew 0.5\n  :queries [\n")
	const counts = `   {:name %q :meaning :counts :kind :%s :form :samples :query "%s{build=~\"{{.Builds}}\"}[3s]"
    :total "unit_answers_total{build=~\"{{.Builds}}\"}[3s]" :period 0.5 :stale 3.0 :weight 1.0 :unit-label "unit" :unit-by :id :build-label "build"}
`
	fmt.Fprintf(&b, counts, "wrong-answers", "wrong", "unit_wrong_total")
	fmt.Fprintf(&b, counts, "errors", "failed", "unit_errors_total")
	const gauge = `   {:name %q :meaning :%s :form :%s :query "%s" :period 0.5 :stale 3.0 :weight 1.0 %s :unit-label "instance" :unit-by :address}
`
	fmt.Fprintf(&b, gauge, "probes", "probe", "instant", "unit_probe_success", "")
	fmt.Fprintf(&b, gauge, "busy", "saturation", "instant", "unit_busy", ":limit 0.95")
	fmt.Fprintf(&b, gauge, "usual-time", "quantile", "range", "unit_answer_seconds", ":limit 0.3 :span 2.0 :step 0.5")
	b.WriteString("  ]}\n")
	return b.String()
}
