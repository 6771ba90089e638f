package table

// maxRemoved is the number of rows that one transaction removes; each takes a check and a write, of which the service accepts 100 in all.
const maxRemoved = 50

// Removal returns the transaction that removes rows as they were read; if there are many, some of them. It fails if one was written since: a
// transaction may be applied after its caller has given it up.
func Removal(rows []Row) Transaction {
	var transaction Transaction
	for _, row := range rows[:min(len(rows), maxRemoved)] {
		transaction.Checks = append(transaction.Checks, Check{Key: row.Key, Revision: row.Revision})
		transaction.Writes = append(transaction.Writes, Write{Key: row.Key, Delete: true})
	}
	return transaction
}
