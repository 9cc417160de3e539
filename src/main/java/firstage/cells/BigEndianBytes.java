package firstage.cells;

/**
 * Reader and writer of integers in big-endian order, for the rows of fixed size that cells send.
 */
final class BigEndianBytes {
    private final byte[] buffer;
    private int position;

    /** Creates a reader or writer that starts at the first byte of {@code buffer}. */
    BigEndianBytes(byte[] buffer) {
        this.buffer = buffer;
    }

    BigEndianBytes put(int number, int byteCount) {
        for (int shift = Byte.SIZE * (byteCount - 1); shift >= 0; shift -= Byte.SIZE) {
            buffer[position++] = (byte) (number >>> shift);
        }
        return this;
    }

    BigEndianBytes put(byte[] source) {
        System.arraycopy(source, 0, buffer, position, source.length);
        position += source.length;
        return this;
    }

    /** Reads the next integer of {@code byteCount} bytes; unsigned if it has fewer than four. */
    int read(int byteCount) {
        int number = 0;
        for (int i = 0; i < byteCount; i++) {
            number = number << Byte.SIZE | buffer[position++] & 0xFF;
        }
        return number;
    }

    byte[] readRest() {
        byte[] rest = new byte[remaining()];
        System.arraycopy(buffer, position, rest, 0, rest.length);
        position = buffer.length;
        return rest;
    }

    int remaining() {
        return buffer.length - position;
    }

    byte[] bytes() {
        return buffer;
    }
}
