package faults

// scriptedCells returns cells whose faults need a fixed sequence of events.
func scriptedCells(matrixOptions) []Cell { return nil }
