// Command standin is not written yet.
package main

func main() {}
