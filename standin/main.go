// Command standin is part of arbutuswinch.
package main

func main() {}
