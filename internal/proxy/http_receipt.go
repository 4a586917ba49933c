package proxy

import (
	"fmt"

	"flintspread/internal/policy"
)

// receiptOf returns an attempt's receipt, which the client sends back to report a wrong answer.
func receiptOf(attempt *attempt) string { return formatReceipt(attempt.endpointID, attempt.startedAt) }

func formatReceipt(endpointID uint32, startedAt float64) string {
	return fmt.Sprintf("%d-%.3f", endpointID, startedAt)
}

// reportWrongAnswerByReceipt records a client's report of a wrong answer, identified by the receipt of that answer. A report
// that was received before is accepted again and does not count. It returns an error if the receipt is invalid or too old;
// the error's text is sent to the client.
func (p *Proxy) reportWrongAnswerByReceipt(receipt string) error {
	var endpointID uint32
	var startedAt float64
	if _, err := fmt.Sscanf(receipt, "%d-%f", &endpointID, &startedAt); err != nil {
		return fmt.Errorf("%s: %q is no receipt", headerReceipt, receipt)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	ageSeconds := now - startedAt
	maxAgeSeconds := min(policy.WrongAnswerReportSeconds, p.currentConfig.Load().Document.Rules.ForgetEndpointSeconds)
	if !(ageSeconds >= 0 && ageSeconds < maxAgeSeconds) { // rejects NaN, too
		return fmt.Errorf("%s: %q is not of the last %.0f s", headerReceipt, receipt, maxAgeSeconds)
	}
	if p.wrongAnswerReports.First(now, formatReceipt(endpointID, startedAt)) {
		p.countWrongAnswer(endpointID, ageSeconds)
	}
	return nil
}
