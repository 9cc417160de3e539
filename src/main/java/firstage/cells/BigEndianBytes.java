package firstage.cells;

/** Reads or writes whole numbers, high byte first: the rows of fixed size that cells send. */
final class BigEndianBytes {
    private final byte[] buffer;
    private int position;

    /** To read these bytes, or to write as many. */
    BigEndianBytes(byte[] buffer) {
        this.buffer = buffer;
    }

    BigEndianBytes put(int number, int bytes) {
        for (int shift = Byte.SIZE * (bytes - 1); shift >= 0; shift -= Byte.SIZE) {
            buffer[position++] = (byte) (number >>> shift);
        }
        return this;
    }

    BigEndianBytes put(byte[] more) {
        System.arraycopy(more, 0, buffer, position, more.length);
        position += more.length;
        return this;
    }

    /** The next number of so many bytes; unsigned where there are fewer than four. */
    int read(int bytes) {
        int number = 0;
        for (int i = 0; i < bytes; i++) {
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
