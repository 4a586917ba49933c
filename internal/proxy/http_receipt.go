package proxy

import "fmt"

// receiptOf names an attempt to the client that gets its answer, for a report of a wrong answer.
func receiptOf(attempt *attempt) string {
	return fmt.Sprintf("%d-%.3f", attempt.endpointID, attempt.startedAt)
}

// reportWrongAnswerByReceipt enters a client's report of a wrong answer by the receipt that came with it. The error is for
// the client: it says what is wrong with the receipt.
func (p *Proxy) reportWrongAnswerByReceipt(receipt string) error {
	var endpointID uint32
	var startedAt float64
	if _, err := fmt.Sscanf(receipt, "%d-%f", &endpointID, &startedAt); err != nil {
		return fmt.Errorf("%s: %q is no receipt", headerReceipt, receipt)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	age := p.Now() - startedAt
	longest := p.currentConfig.Load().Document.Rules.ForgetEndpointSeconds
	if !(age >= 0 && age < longest) { // also where age is no number
		return fmt.Errorf("%s: %q is not of the last %.0f s", headerReceipt, receipt, longest)
	}
	p.countWrongAnswer(endpointID, age)
	return nil
}
