package org.ragwortbank.node.log

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class LineWriterTest {
    private fun droppedLine(count: Int) = "$count dropped\n"

    @Test
    fun `given lines, when the writer stops, then all are written in order`() {
        val output = ByteArrayOutputStream()
        val writer = LineWriter(output, 1.milliseconds, ::droppedLine)
        val lines = (1..500).map { "line $it\n" }
        lines.forEach(writer::add)
        writer.stop()
        assertEquals(lines.joinToString(""), output.toString(Charsets.UTF_8))
    }

    @Test
    fun `given an output that blocks, then adding doesn't block, and the lines without room are counted`() {
        val output = BlockedOutput()
        val writer = LineWriter(output, 1.milliseconds, ::droppedLine)
        writer.add("first\n")
        output.isWriting.await()
        val line = "x".repeat(999) + "\n"
        val room = PendingLines.MAX_CHARACTERS / line.length
        repeat(room + 7) { writer.add(line) }
        output.mayContinue.countDown()
        writer.stop()
        assertEquals("first\n" + line.repeat(room) + "7 dropped\n", output.content.toString(Charsets.UTF_8))
    }

    @Test
    fun `given an output that fails once, then the lost lines are counted in what is written next`() {
        val output = FailingOnceOutput()
        val writer = LineWriter(output, 1.milliseconds, ::droppedLine)
        writer.add("lost\n")
        output.hasFailed.await()
        writer.add("kept\n")
        writer.stop()
        assertTrue(output.content.toString(Charsets.UTF_8).contains("kept\n"))
        assertTrue(output.content.toString(Charsets.UTF_8).contains("1 dropped\n"))
    }

    private class BlockedOutput : OutputStream() {
        val content = ByteArrayOutputStream()
        val isWriting = CountDownLatch(1)
        val mayContinue = CountDownLatch(1)

        override fun write(byte: Int) = content.write(byte)

        override fun write(bytes: ByteArray) {
            isWriting.countDown()
            awaitUninterrupted(mayContinue)
            content.write(bytes)
        }

        private fun awaitUninterrupted(latch: CountDownLatch) {
            while (latch.count > 0) {
                try {
                    latch.await()
                } catch (_: InterruptedException) {
                    continue
                }
            }
        }
    }

    private class FailingOnceOutput : OutputStream() {
        val content = ByteArrayOutputStream()
        val hasFailed = CountDownLatch(1)

        override fun write(byte: Int) = content.write(byte)

        override fun write(bytes: ByteArray) {
            if (hasFailed.count > 0) {
                hasFailed.countDown()
                throw IOException("no reader")
            }
            content.write(bytes)
        }
    }
}
